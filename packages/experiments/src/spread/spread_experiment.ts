import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import { findRunFaults } from "../harness/find_run_faults.ts";
import { RunningSystem } from "../harness/running_system.ts";
import { smallTopology } from "../harness/small_topology.ts";
import type { Topology } from "../harness/topology.ts";
import { spreadCurve } from "./spread_curve.ts";

const MEGABYTE = 1_048_576;
const TOTAL_BYTES = 24 * MEGABYTE;
const SPREAD_SECONDS = 12;
const HOST_BYTES_PER_SECOND = 2 * TOTAL_BYTES / SPREAD_SECONDS;
const ORIGIN_BYTES_PER_SECOND = 4 * TOTAL_BYTES / SPREAD_SECONDS;
const CENTRES = ["van", "kel", "pgr"];
const REPLICAS = [3, 6, 12, 24];
const MODEL_SIZES = [90, 180, 360, 720];
const QUIET_MILLISECONDS = 4_000;
const SEED = 11;

type Row = {
  replicas: number;
  weighing: string;
  seconds: number;
  originCopies: number;
  quietP95: number;
  spreadP95: number;
  wrong: number;
};

function topology(
  replicas: number,
  spreadWeighing: Topology["spreadWeighing"],
): Topology {
  const dataCentres = Array.from(
    { length: replicas },
    (_, index) => CENTRES[index % CENTRES.length]!,
  );
  return {
    ...smallTopology(HOST_BYTES_PER_SECOND),
    services: [
      { service: "drafter", kind: "engine", dataCentres },
      { service: "ledger", kind: "unrepeatable", dataCentres: CENTRES },
    ],
    spreadWeighing,
    logLevel: "warn",
  };
}

async function measure(
  replicas: number,
  weighing: Topology["spreadWeighing"],
): Promise<Row> {
  const system = new RunningSystem({
    topology: topology(replicas, weighing),
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
    const words = ["contract", "create", "desk", "--rate", "400", "--burst"];
    await system.client([...words, "100", "--services", "drafter,ledger"]);
    await system.spread("1", replicas);
    const quietLoad = system.startLoad(plan);
    await pause(QUIET_MILLISECONDS);
    const quiet = await system.endLoad(quietLoad);
    const load = system.startLoad({ ...plan, seed: SEED + 1 });
    const spread = await system.spread("2", replicas);
    const busy = await system.endLoad(load);
    const faults = findRunFaults(busy, await system.record());
    const wrong = Object.values(busy.services).reduce(
      (sum, row) => sum + row.wrong + row.cut,
      faults.length,
    );
    return {
      replicas,
      weighing,
      ...spread,
      quietP95: quiet.services["drafter"]!.p95,
      spreadP95: busy.services["drafter"]!.p95,
      wrong,
    };
  } finally {
    await system.destroy();
  }
}

/** Time to N replicas and origin copies, ours beside the naive and bounds. */
export async function spreadExperiment(): Promise<boolean> {
  const rows: Row[] = [];
  for (const replicas of REPLICAS) {
    rows.push(await measure(replicas, "time"));
  }
  rows.push(await measure(12, "origin-bytes"));
  const bound = TOTAL_BYTES / HOST_BYTES_PER_SECOND;
  console.log(
    `seed ${SEED}; real processes, 3 data centres, 24 MiB; least time: ` +
      `origin ${TOTAL_BYTES / ORIGIN_BYTES_PER_SECOND} s, host link ${bound} s`,
  );
  console.log(formatTable(
    [
      "N",
      "WEIGHING",
      "SECONDS",
      "/HOST LINK",
      "NAIVE S",
      "ORIGIN",
      "P95 QUIET",
      "P95 MS",
      "WRONG",
    ],
    rows.map((row) => [
      row.replicas,
      row.weighing,
      row.seconds.toFixed(1),
      (row.seconds / bound).toFixed(2),
      (row.replicas * TOTAL_BYTES / ORIGIN_BYTES_PER_SECOND).toFixed(0),
      row.originCopies.toFixed(2),
      row.quietP95,
      row.spreadP95,
      row.wrong,
    ]),
  ));
  const fluid = { regionLink: 1.1, sizes: MODEL_SIZES, chunks: 96 };
  spreadCurve({ ...fluid, dataCentres: 3 });
  spreadCurve({ ...fluid, dataCentres: 7 });
  return rows.every((row) => row.wrong === 0);
}
