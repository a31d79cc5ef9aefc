import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { RunningSystem } from "../harness/running_system.ts";
import { createSmallTopology } from "../harness/create_small_topology.ts";

const MEGABYTE = 1_048_576;
const SEED = 21;
const SECONDS = 8;
const DEADLINE_MILLISECONDS = 1_000;
/**
 * Calls per second: about half, 1, 2 and 3 times the capacity of the three
 * engines.
 */
const RATES = [200, 400, 800, 1_200];
const ENGINES = 3;

/**
 * Measures overload on real processes, with three engines of eight slots.
 * Returns whether no answer was wrong or incomplete.
 */
export async function measureOverload(): Promise<boolean> {
  const system = new RunningSystem({
    topology: {
      ...createSmallTopology(0),
      services: [{
        service: "drafter",
        kind: "engine",
        dataCentres: ["van", "kel", "pgr"],
      }],
      logLevel: "warn",
    },
    model: "drafter",
    totalBytes: MEGABYTE,
    chunkBytes: MEGABYTE / 4,
    commonChunks: 0,
    originBytesPerSecond: 0,
  });
  const rows = [];
  let wrong = 0;
  try {
    await system.start();
    await system.runClient([
      ...["contract", "create", "desk", "--rate", "9000", "--burst", "4000"],
      ...["--services", "drafter"],
    ]);
    await system.measureSpread("1", ENGINES);
    for (const rate of RATES) {
      const load = system.startLoad({
        workspace: "desk",
        seed: SEED + rate,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        streams: [
          { service: "drafter", callsPerSecond: rate, kind: "engine" },
        ],
      });
      await sleep(SECONDS * 1_000);
      const row = (await system.stopLoad(load)).services["drafter"]!;
      wrong += row.wrong + row.cut;
      rows.push([
        rate,
        Math.round(row.sent / SECONDS),
        Math.round(row.whole / SECONDS),
        row.wrong + row.cut,
        row.p50,
        row.p95,
        row.p99,
        row.refusedP99,
        JSON.stringify(row.refused),
      ]);
    }
  } finally {
    await system.destroy();
  }
  console.log(
    `\nreal processes, 3 engines of 8 slots, deadline 1 s, seed ${SEED}`,
  );
  console.log(formatTable(
    [
      "ASKED/S",
      "SENT/S",
      "WHOLE/S",
      "WRONG",
      "P50",
      "P95",
      "P99",
      "REF P99",
      "REFUSED",
    ],
    rows,
  ));
  return wrong === 0;
}
