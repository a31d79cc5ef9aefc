import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { findRunErrors } from "../harness/find_run_faults.ts";
import { RunningSystem } from "../harness/running_system.ts";
import { createSmallTopology } from "../harness/create_small_topology.ts";
import { printDemoTable } from "./print_demo_table.ts";

const MEGABYTE = 1_048_576;
const TOTAL_BYTES = 48 * MEGABYTE;
const CHUNK_BYTES = MEGABYTE / 2;
const COMMON_CHUNKS = 24;
/**
 * Unit of time of the bandwidths: in it, a host link transfers two copies of
 * the weights and the origin four.
 */
const TIME_UNIT_SECONDS = 12;
const HOST_BYTES_PER_SECOND = 2 * TOTAL_BYTES / TIME_UNIT_SECONDS;
const ORIGIN_BYTES_PER_SECOND = 4 * TOTAL_BYTES / TIME_UNIT_SECONDS;
/** How long version 2 spreads before version 3 supersedes it. */
const SUPERSEDE_DELAY_MILLISECONDS = 3_000;
const SEED = 20_261_203;
const MODEL = "drafter";
const WORKSPACE = "levy-desk";
const REPLICAS = 8;

/**
 * Publishes three versions to a whole system on loopback, with live calls
 * throughout. Returns whether no answer was wrong or incomplete, the outcomes
 * of unrepeatable calls match the services' records, and every process exited
 * with 0.
 */
export async function demo(): Promise<boolean> {
  const system = new RunningSystem({
    topology: createSmallTopology(HOST_BYTES_PER_SECOND),
    model: MODEL,
    totalBytes: TOTAL_BYTES,
    chunkBytes: CHUNK_BYTES,
    commonChunks: COMMON_CHUNKS,
    originBytesPerSecond: ORIGIN_BYTES_PER_SECOND,
  });
  console.log(`seed ${SEED}; logs in ${system.cluster.folder}`);
  try {
    await system.start();
    return await runDemoSteps(system);
  } finally {
    await system.destroy();
  }
}

async function runDemoSteps(system: RunningSystem): Promise<boolean> {
  const args = ["contract", "create", WORKSPACE, "--rate", "200"];
  args.push("--burst", "80", "--services", "drafter,ledger,portal");
  console.log(`$ teaselrouter ${args.join(" ")}`);
  console.log(await system.runClient(args));
  const load = system.startLoad({
    workspace: WORKSPACE,
    seed: SEED,
    deadlineMilliseconds: 5_000,
    streams: [
      { service: MODEL, callsPerSecond: 40, kind: "engine" },
      { service: "ledger", callsPerSecond: 10, kind: "unrepeatable" },
      { service: "portal", callsPerSecond: 10, kind: "repeatable" },
    ],
  });
  console.log("publishing version 1, then 2, and 3 in the middle of 2 ...");
  const first = await system.measureSpread("1", REPLICAS);
  await system.publish("2");
  await sleep(SUPERSEDE_DELAY_MILLISECONDS);
  const third = await system.measureSpread("3", REPLICAS);
  console.log(await system.runClient(["status"]));
  const summary = await system.stopLoad(load);
  const runErrors = findRunErrors(summary, await system.fetchRecordedBodies());
  const badExits = await system.cluster.stopAll();
  for (const line of badExits) console.log(line);
  const hasPassed = printDemoTable({
    publications: [{ version: "1", ...first }, { version: "3", ...third }],
    replicas: REPLICAS,
    summary,
    runErrors,
    bounds: {
      originSeconds: TOTAL_BYTES / ORIGIN_BYTES_PER_SECOND,
      hostSeconds: TOTAL_BYTES / HOST_BYTES_PER_SECOND,
    },
  });
  return hasPassed && badExits.length === 0;
}
