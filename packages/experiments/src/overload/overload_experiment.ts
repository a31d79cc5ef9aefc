import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { OverloadModel } from "./overload_model.ts";
import { overloadProcesses } from "./overload_processes.ts";

const SEEDS = [1, 2, 3];

const SCENES = [
  { name: "0.8 x", load: 0.8, withSlow: false, withBlackHole: false },
  { name: "0.8 x, slow one", load: 0.8, withSlow: true, withBlackHole: false },
  {
    name: "0.6 x, black hole",
    load: 0.6,
    withSlow: false,
    withBlackHole: true,
  },
  { name: "3 x", load: 3, withSlow: false, withBlackHole: false },
  { name: "3 x, both", load: 3, withSlow: true, withBlackHole: true },
];

/** Goodput, late answers and refusals, ours beside the naive twin. */
export async function overloadExperiment(): Promise<boolean> {
  const rows = SCENES.flatMap(({ name, ...scene }) =>
    [true, false].flatMap((ours) =>
      SEEDS.map((seed) => {
        const result = new OverloadModel({ ...scene, seed, ours }).run();
        return [
          name,
          ours ? "ours" : "naive",
          seed,
          result.goodput.toFixed(3),
          result.late,
          result.refused,
          result.failed,
          (result.retries / result.calls).toFixed(3),
          result.p50,
          result.p95,
          result.p99,
        ];
      })
    )
  );
  console.log("12 backend servers, 4 entry hosts, reports 200 ms late");
  console.log(formatTable(
    [
      "LOAD",
      "WHO",
      "SEED",
      "GOOD",
      "LATE",
      "REFUSED",
      "FAIL",
      "RETRY",
      "P50",
      "P95",
      "P99",
    ],
    rows,
  ));
  return await overloadProcesses();
}
