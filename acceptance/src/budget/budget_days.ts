import process from "node:process";
import { BudgetDay } from "./budget_day.ts";
import { drawSlowEngineTerms } from "./draw_slow_engine_terms.ts";

const [firstSeed = "1", count = "50", gateways = "6", engines = "slow"] =
  process.argv.slice(2);

// Runs one simulated day after another, one for each of `count` seeds from the
// first on, and prints a line for each. Engines begin to answer late and end as
// each seed draws it, or, "quick", at once. Exits with 1 if a day has faults.
console.log(
  "seed sent served ratio slack repeats/allowed told-too-much/late | faults",
);
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const day = await new BudgetDay(
    seed,
    Number(gateways),
    engines === "slow" ? drawSlowEngineTerms(seed) : {},
  ).run();
  const { bounds, windows, deadlines } = day;
  console.log(
    seed,
    day.sent,
    day.served,
    bounds.retryBudgetRatio,
    bounds.retryBudgetSlack,
    windows.map(({ service, repeats, allowed }) =>
      `${service}:${repeats}/${allowed.toFixed(0)}`
    ).join(" "),
    `${deadlines.long}/${deadlines.judged} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
