import process from "node:process";
import sade, { type Sade } from "sade";
import { OperatorClient } from "./client/operator_client.ts";
import { changeContract } from "./commands/change_contract.ts";
import type { CommandResult } from "./commands/command_result.ts";
import { drainBackend } from "./commands/drain_backend.ts";
import { listBackends } from "./commands/list_backends.ts";
import { listContracts } from "./commands/list_contracts.ts";
import { listEvacuations } from "./commands/list_evacuations.ts";
import { orderEvacuation } from "./commands/order_evacuation.ts";
import { publishWeights } from "./commands/publish_weights.ts";
import { removeEntry } from "./commands/remove_entry.ts";
import { replaceMember } from "./commands/replace_member.ts";
import { showContract } from "./commands/show_contract.ts";
import { showStatus } from "./commands/show_status.ts";
import { showTimeline } from "./commands/show_timeline.ts";
import { showWeights } from "./commands/show_weights.ts";
import { readContractFields } from "./read_contract_fields.ts";
import { exitCode } from "./exit_code.ts";
import { findEntry } from "./find_entry.ts";

const DEFAULT_TIMELINE_SECONDS = 300;

type Options = Record<string, unknown>;

function print(result: CommandResult, options: Options): void {
  const text = options["json"] ? JSON.stringify(result.json) : result.text;
  const stream = result.exit === exitCode.done || options["json"]
    ? process.stdout
    : process.stderr;
  stream.write(`${text}\n`, () => process.exit(result.exit));
}

async function runWith(
  options: Options,
  command: (client: OperatorClient) => Promise<CommandResult>,
): Promise<void> {
  const entry = findEntry(options["entry"] as string | undefined);
  if (entry === undefined) {
    const text = `--entry: "${options["entry"]}" is no URL or settings file`;
    return print(
      { exit: exitCode.usage, text, json: { error: text } },
      options,
    );
  }
  print(await command(new OperatorClient(entry)), options);
}

function toNumber(value: unknown): number | undefined {
  return value === undefined ? undefined : Number(value);
}

function addContractCommands(program: Sade): void {
  for (const kind of ["create", "change", "retire"] as const) {
    program
      .command(`contract ${kind} <workspace>`)
      .describe(`${kind} a workspace's contract; waits until it is in force`)
      .option("--rate", "Requests per second over all entry hosts")
      .option("--burst", "Requests that may exceed the rate at once")
      .option("--services", "Services that it may call, comma-separated")
      .option(
        "--guaranteed-share",
        "Share that hosts keep while cut off, 0 to 1",
      )
      .option("--deadline", "Deadline of requests that name none, ms")
      .option("--priority", "0 to 9; a larger number goes first")
      .option("--maximum-body", "Maximum size of a request body, bytes")
      .option("--number", "Contract number that this change replaces")
      .option("--dry-run", "Show the changes without making them")
      .example(
        `contract ${kind} bakery ${kind === "retire" ? "" : "--rate 50"}`,
      )
      .action((workspace: string, options: Options) =>
        runWith(options, (client) =>
          changeContract(client, {
            workspace,
            kind,
            fields: readContractFields(options),
            expected: toNumber(options["number"]),
            dryRun: options["dry-run"] === true,
          }))
      );
  }
  program
    .command("contract show <workspace>")
    .describe("Show the current contract of a workspace")
    .example("contract show bakery")
    .action((workspace: string, options: Options) =>
      runWith(options, (client) => showContract(client, workspace))
    );
  program
    .command("contract list")
    .describe("List all contracts")
    .example("contract list --json")
    .action((options: Options) => runWith(options, listContracts));
}

function addWeightsCommands(program: Sade): void {
  program
    .command("weights publish <name> <version>")
    .describe("Publish a version for a service")
    .option("--service", "Service whose backend servers load the version")
    .option("--store", "URL of the weight store")
    .option("--serving-share", "Share of replicas that always serves, 0 to 1")
    .option("--number", "Publication number that this one replaces")
    .option("--wait", "Wait until every replica is live; show progress")
    .example(
      "weights publish drafter 7 --service drafter --store http://store:80 --wait",
    )
    .action((name: string, version: string, options: Options) => {
      for (const needed of ["service", "store"]) {
        if (typeof options[needed] === "string") continue;
        const text = `--${needed} is needed`;
        const json = { error: text };
        return print({ exit: exitCode.usage, text, json }, options);
      }
      return runWith(options, (client) =>
        publishWeights(client, {
          service: String(options["service"]),
          name,
          version: String(version),
          store: String(options["store"]),
          servingShare: toNumber(options["serving-share"]),
          expected: toNumber(options["number"]),
          wait: options["wait"] === true,
        }));
    });
  program
    .command("weights status")
    .describe("Show each service's version and its replicas")
    .example("weights status")
    .action((options: Options) => runWith(options, showWeights));
}

function addBackendCommands(program: Sade): void {
  program
    .command("backend list")
    .describe("List the backend servers")
    .example("backend list --json")
    .action((options: Options) => runWith(options, listBackends));
  program
    .command("backend drain <backend>")
    .describe("Send no new requests to a backend server")
    .option("--undo", "Send requests to it again")
    .example("backend drain worker-3")
    .action((backend: string, options: Options) =>
      runWith(
        options,
        (client) =>
          drainBackend(client, backend, { undo: options["undo"] === true }),
      )
    );
}

function addEvacuationCommands(program: Sade): void {
  program
    .command("evacuation begin <centre>")
    .describe("Send no new requests to the backend servers of a data centre")
    .example("evacuation begin van-a")
    .action((dataCentre: string, options: Options) =>
      runWith(
        options,
        (client) => orderEvacuation(client, dataCentre, { evacuated: true }),
      )
    );
  program
    .command("evacuation end <centre>")
    .describe("Send requests to the data centre's backend servers again")
    .example("evacuation end van-a")
    .action((dataCentre: string, options: Options) =>
      runWith(
        options,
        (client) => orderEvacuation(client, dataCentre, { evacuated: false }),
      )
    );
  program
    .command("evacuation list")
    .describe("List the evacuations in force")
    .example("evacuation list --json")
    .action((options: Options) => runWith(options, listEvacuations));
}

function addHostCommands(program: Sade): void {
  program
    .command("member replace <name>")
    .describe("Make a control host that lost its disk a voter again")
    .example("member replace van-1")
    .action((name: string, options: Options) =>
      runWith(options, (client) => replaceMember(client, name))
    );
  program
    .command("entry remove <host>")
    .describe("Free the shares of an entry host that won't return")
    .example("entry remove van-2")
    .action((host: string, options: Options) =>
      runWith(options, (client) => removeEntry(client, host))
    );
}

function addViewCommands(program: Sade): void {
  program
    .command("status")
    .describe("Show an overview of the system")
    .example("status --entry http://10.0.0.4:8080")
    .action((options: Options) => runWith(options, showStatus));
  program
    .command("timeline")
    .describe("Show the events of all processes, merged")
    .option(
      "--since",
      "How far back to look, seconds",
      DEFAULT_TIMELINE_SECONDS,
    )
    .option("--trace", "Print a file for a browser's trace viewer")
    .example("timeline --since 60 --trace > trace.json")
    .action((options: Options) =>
      runWith(options, (client) =>
        showTimeline(client, {
          sinceSeconds: Number(options["since"]),
          trace: options["trace"] === true,
        }))
    );
}

/** Builds the command-line parser with all commands of the client. */
export function createProgram(): Sade {
  const program = sade("teaselrouter")
    .version("0.1.0")
    .option("--entry", "URL of an entry host, or a settings file with one")
    .option("--json", "Print JSON");
  addContractCommands(program);
  addWeightsCommands(program);
  addBackendCommands(program);
  addEvacuationCommands(program);
  addHostCommands(program);
  addViewCommands(program);
  return program;
}
