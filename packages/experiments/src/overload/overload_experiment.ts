import { formatTable } from "@teaselrouter/operator/output/format_table.ts";
import { OverloadModel } from "./overload_model.ts";
import { measureOverload } from "./measure_overload.ts";

const SEEDS = [1, 2, 3];

const SCENARIOS = [
  { name: "0.8 x", load: 0.8, hasSlowBackend: false, hasBlackHole: false },
  {
    name: "0.8 x, slow one",
    load: 0.8,
    hasSlowBackend: true,
    hasBlackHole: false,
  },
  {
    name: "0.6 x, black hole",
    load: 0.6,
    hasSlowBackend: false,
    hasBlackHole: true,
  },
  { name: "3 x", load: 3, hasSlowBackend: false, hasBlackHole: false },
  { name: "3 x, both", load: 3, hasSlowBackend: true, hasBlackHole: true },
];

/**
 * Prints goodput, late answers and refusals under overload, of the product and
 * of a naive baseline, in a simulation; then measures real processes.
 */
export async function overloadExperiment(): Promise<boolean> {
  const rows = SCENARIOS.flatMap(({ name, ...scene }) =>
    [true, false].flatMap((usesProduct) =>
      SEEDS.map((seed) => {
        const result = new OverloadModel({ ...scene, seed, usesProduct }).run();
        return [
          name,
          usesProduct ? "product" : "naive",
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
  console.log(
    "12 backend servers, 4 entry hosts, load reports delayed by 200 ms",
  );
  console.log(formatTable(
    [
      "LOAD",
      "POLICY",
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
  return await measureOverload();
}
