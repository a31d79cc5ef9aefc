import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import process from "node:process";
import sade from "sade";
import { differenceOf } from "./difference_of.ts";
import { fleetPatterns } from "./fleet_patterns.ts";
import { fleetPolicies } from "./fleet_policies.ts";
import { FleetRun } from "./fleet_run.ts";
import type { FleetFigures } from "./fleet_figures.ts";
import { loadFleetSettings } from "./load_fleet_settings.ts";

const HEADINGS = [
  "PATTERN",
  "POLICY",
  "WORTH",
  "LESS FIRST",
  "INTIME",
  "LATE",
  "REFUSED",
  "AGAIN",
  "LEFT",
  "WINDOW",
  "KIND",
  "CROSS",
];

type Words = {
  fleet: string;
  pattern?: string;
  policy: string;
  seeds: number;
  json?: boolean;
};

type Row = { pattern: string; policy: string; figures: FleetFigures[] };

/** Policies under named loads, on a modelled fleet, on the same seeds. */
export function heavyExperiment(): Promise<boolean> {
  return new Promise((resolve) => {
    sade("heavy", true)
      .option("--fleet", "Settings of the fleet", "examples/fleet-41x12.toml")
      .option("--pattern", `One of ${Object.keys(fleetPatterns).join(", ")}`)
      .option(
        "--policy",
        "Compared, the first with each",
        "product,naive,knowing",
      )
      .option("--seeds", "How many", 20)
      .option("--json", "All figures, seed by seed")
      .action((words: Words) => {
        const rows = play(words);
        if (words.json) console.log(JSON.stringify(rows));
        else console.log(tableOf(rows));
        resolve(true);
      })
      .parse(process.argv.slice(1));
  });
}

function play({ fleet, pattern, policy, seeds }: Words): Row[] {
  const settings = loadFleetSettings(fleet);
  const patterns = pattern === undefined
    ? Object.keys(fleetPatterns)
    : [pattern];
  const policies = policy.split(",");
  for (const name of policies) {
    if (fleetPolicies[name] === undefined) throw new Error(`no policy ${name}`);
  }
  return patterns.flatMap((name) =>
    policies.map((policy) => {
      process.stderr.write(`${name} ${policy}\n`);
      const figures = Array.from({ length: Number(seeds) }, (_, seed) =>
        new FleetRun({
          settings,
          pattern: fleetPatterns[name]!,
          policy,
          seed,
        }).run());
      return { pattern: name, policy, figures };
    })
  );
}

function tableOf(rows: Row[]): string {
  return formatTable(HEADINGS, rows.map((row) => cellsOf(row, rows)));
}

function cellsOf({ pattern, policy, figures }: Row, rows: Row[]): string[] {
  const first = rows.find((row) => row.pattern === pattern)!;
  const column = (of: (figures: FleetFigures) => number) =>
    shorten(
      figures.reduce((sum, run) => sum + of(run), 0) / figures.length,
    );
  const { mean, half } = differenceOf(
    figures.map(({ worth }) => worth),
    first.figures.map(({ worth }) => worth),
  );
  return [
    pattern,
    policy,
    column(({ worth }) => worth),
    first.policy === policy ? "" : `${mean.toFixed(3)}±${half.toFixed(3)}`,
    column(({ inTime }) => inTime),
    column(({ late }) => late),
    column(({ refused }) => refused),
    column(({ refusedAgain }) => refusedAgain),
    column(({ left }) => left),
    column(({ worstWindow }) => worstWindow),
    column(({ worstKind }) => worstKind),
    column(({ crossings }) => crossings),
  ];
}

/** .876 for 0.876: a row has to fit 80 columns. */
function shorten(share: number): string {
  return share.toFixed(3).replace(/^0/, "");
}
