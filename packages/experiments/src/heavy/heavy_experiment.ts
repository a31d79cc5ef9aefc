import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import process from "node:process";
import sade from "sade";
import { computePairedDifference } from "./compute_paired_difference.ts";
import { fleetPatterns } from "./fleet_patterns.ts";
import { fleetPolicies } from "./fleet_policies.ts";
import { FleetSimulation } from "./fleet_simulation.ts";
import type { FleetMetrics } from "./fleet_metrics.ts";
import { loadFleetSettings } from "./load_fleet_settings.ts";

const HEADINGS = [
  "PATTERN",
  "POLICY",
  "WORTH",
  "VS FIRST",
  "INTIME",
  "LATE",
  "REFUSED",
  "AGAIN",
  "LEFT",
  "WINDOW",
  "KIND",
  "CROSS",
];

type Flags = {
  fleet: string;
  pattern?: string;
  policy: string;
  seeds: number;
  json?: boolean;
};

type Row = { pattern: string; policy: string; figures: FleetMetrics[] };

/**
 * Compares policies on a modelled fleet, under the named patterns and with the
 * same seeds.
 */
export function heavyExperiment(): Promise<boolean> {
  return new Promise((resolve) => {
    sade("heavy", true)
      .option(
        "--fleet",
        "Settings file of the fleet",
        "examples/fleet-41x12.toml",
      )
      .option("--pattern", `One of ${Object.keys(fleetPatterns).join(", ")}`)
      .option(
        "--policy",
        "Policies to compare, separated by commas; the first is the baseline",
        "product,naive,knowing",
      )
      .option("--seeds", "Number of seeds", 20)
      .option("--json", "Print all metrics of each seed as JSON")
      .action((flags: Flags) => {
        const rows = runSimulations(flags);
        if (flags.json) console.log(JSON.stringify(rows));
        else console.log(formatRows(rows));
        resolve(true);
      })
      .parse(process.argv.slice(1));
  });
}

function runSimulations({ fleet, pattern, policy, seeds }: Flags): Row[] {
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
        new FleetSimulation({
          settings,
          pattern: fleetPatterns[name]!,
          policy,
          seed,
        }).run());
      return { pattern: name, policy, figures };
    })
  );
}

function formatRows(rows: Row[]): string {
  return formatTable(HEADINGS, rows.map((row) => formatCells(row, rows)));
}

function formatCells({ pattern, policy, figures }: Row, rows: Row[]): string[] {
  const baseline = rows.find((row) => row.pattern === pattern)!;
  const meanOf = (of: (figures: FleetMetrics) => number) =>
    formatShare(
      figures.reduce((sum, run) => sum + of(run), 0) / figures.length,
    );
  const { mean, halfWidth } = computePairedDifference(
    figures.map(({ worth }) => worth),
    baseline.figures.map(({ worth }) => worth),
  );
  return [
    pattern,
    policy,
    meanOf(({ worth }) => worth),
    baseline.policy === policy
      ? ""
      : `${mean.toFixed(3)}±${halfWidth.toFixed(3)}`,
    meanOf(({ inTime }) => inTime),
    meanOf(({ late }) => late),
    meanOf(({ refused }) => refused),
    meanOf(({ refusedAgain }) => refusedAgain),
    meanOf(({ left }) => left),
    meanOf(({ worstWindow }) => worstWindow),
    meanOf(({ worstKind }) => worstKind),
    meanOf(({ crossings }) => crossings),
  ];
}

/** Formats 0.876 as .876, so that a row fits in 80 columns. */
function formatShare(share: number): string {
  return share.toFixed(3).replace(/^0/, "");
}
