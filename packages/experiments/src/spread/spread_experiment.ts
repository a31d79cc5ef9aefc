import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { findRunErrors } from "../harness/find_run_faults.ts";
import { RunningSystem } from "../harness/running_system.ts";
import { createSmallTopology } from "../harness/create_small_topology.ts";
import type { Topology } from "../harness/topology.ts";
import { printSpreadCurve } from "./print_spread_curve.ts";

const MEGABYTE = 1_048_576;
const TOTAL_BYTES = 24 * MEGABYTE;
/**
 * Unit of time of the bandwidths: in it, a host link transfers two copies of
 * the weights and the origin four.
 */
const TIME_UNIT_SECONDS = 12;
const HOST_BYTES_PER_SECOND = 2 * TOTAL_BYTES / TIME_UNIT_SECONDS;
const ORIGIN_BYTES_PER_SECOND = 4 * TOTAL_BYTES / TIME_UNIT_SECONDS;
const DATA_CENTRES = ["van", "kel", "pgr"];
const REPLICA_COUNTS = [3, 6, 12, 24];
const MODELLED_HOST_COUNTS = [90, 180, 360, 720];
/**
 * How long the load runs without a spread, to compare the times of its answers
 * with those during the spread.
 */
const BASELINE_MILLISECONDS = 4_000;
const SEED = 11;

type Row = {
  replicas: number;
  objective: string;
  seconds: number;
  originCopies: number;
  /** Time to an answer without and during the spread, milliseconds. */
  baselineP95: number;
  spreadP95: number;
  /** Wrong and incomplete answers, and calls not run exactly as reported. */
  wrong: number;
};

function createTopology(
  replicas: number,
  spreadObjective: Topology["spreadObjective"],
): Topology {
  const dataCentres = Array.from(
    { length: replicas },
    (_, index) => DATA_CENTRES[index % DATA_CENTRES.length]!,
  );
  return {
    ...createSmallTopology(HOST_BYTES_PER_SECOND),
    services: [
      { service: "drafter", kind: "engine", dataCentres },
      { service: "ledger", kind: "unrepeatable", dataCentres: DATA_CENTRES },
    ],
    spreadObjective,
    logLevel: "warn",
  };
}

async function measure(
  replicas: number,
  objective: Topology["spreadObjective"],
): Promise<Row> {
  const system = new RunningSystem({
    topology: createTopology(replicas, objective),
    model: "drafter",
    totalBytes: TOTAL_BYTES,
    chunkBytes: MEGABYTE / 4,
    commonChunks: 0,
    originBytesPerSecond: ORIGIN_BYTES_PER_SECOND,
  });
  const plan = {
    workspace: "desk",
    seed: SEED,
    deadlineMilliseconds: 4_000,
    streams: [
      { service: "drafter", callsPerSecond: 20, kind: "engine" as const },
      { service: "ledger", callsPerSecond: 10, kind: "unrepeatable" as const },
    ],
  };
  try {
    await system.start();
    const args = ["contract", "create", "desk", "--rate", "400", "--burst"];
    await system.runClient([...args, "100", "--services", "drafter,ledger"]);
    await system.measureSpread("1", replicas);
    const baselineLoad = system.startLoad(plan);
    await sleep(BASELINE_MILLISECONDS);
    const baseline = await system.stopLoad(baselineLoad);
    const load = system.startLoad({ ...plan, seed: SEED + 1 });
    const spread = await system.measureSpread("2", replicas);
    const duringSpread = await system.stopLoad(load);
    const runErrors = findRunErrors(
      duringSpread,
      await system.fetchRecordedBodies(),
    );
    const wrong = Object.values(duringSpread.services).reduce(
      (sum, row) => sum + row.wrong + row.cut,
      runErrors.length,
    );
    return {
      replicas,
      objective,
      ...spread,
      baselineP95: baseline.services["drafter"]!.p95,
      spreadP95: duringSpread.services["drafter"]!.p95,
      wrong,
    };
  } finally {
    await system.destroy();
  }
}

/**
 * Measures the time until N replicas are live and the copies fetched from the
 * origin. Prints both with lower bounds, and with the time that a naive spread
 * would take, in which every host fetches from the origin. Then prints the
 * modelled curves. Returns whether no answer was wrong.
 */
export async function spreadExperiment(): Promise<boolean> {
  const rows: Row[] = [];
  for (const replicas of REPLICA_COUNTS) {
    rows.push(await measure(replicas, "time"));
  }
  rows.push(await measure(12, "origin-bytes"));
  const bound = TOTAL_BYTES / HOST_BYTES_PER_SECOND;
  console.log(
    `seed ${SEED}; real processes, 3 data centres, 24 MiB; lower bounds: ` +
      `origin ${TOTAL_BYTES / ORIGIN_BYTES_PER_SECOND} s, host link ${bound} s`,
  );
  console.log(formatTable(
    [
      "N",
      "OBJECTIVE",
      "SECONDS",
      "/HOST LINK",
      "NAIVE S",
      "ORIGIN",
      "P95 BEFORE",
      "P95 DURING",
      "WRONG",
    ],
    rows.map((row) => [
      row.replicas,
      row.objective,
      row.seconds.toFixed(1),
      (row.seconds / bound).toFixed(2),
      (row.replicas * TOTAL_BYTES / ORIGIN_BYTES_PER_SECOND).toFixed(0),
      row.originCopies.toFixed(2),
      row.baselineP95,
      row.spreadP95,
      row.wrong,
    ]),
  ));
  const modelOptions = {
    regionBandwidth: 1.1,
    hostCounts: MODELLED_HOST_COUNTS,
    chunks: 96,
  };
  printSpreadCurve({ ...modelOptions, dataCentres: 3 });
  printSpreadCurve({ ...modelOptions, dataCentres: 7 });
  return rows.every((row) => row.wrong === 0);
}
