import process from "node:process";
import { drawSlowEngineTerms } from "./budget/draw_slow_engine_terms.ts";
import { IncidentDay } from "./incident_day.ts";

const [firstSeed = "1", count = "30", engines = "quick"] = process.argv.slice(
  2,
);

// Runs one simulated day after another, one for each of `count` seeds from the
// first on, and prints a line for each. With "slow" engines begin to answer late
// and end as each seed draws it. Exits with 1 if a day has faults.
console.log(
  "seed served refused broken wrong-blame ends late limit troubles | faults",
);
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const day = await new IncidentDay(
    seed,
    engines === "slow" ? drawSlowEngineTerms(seed) : {},
  ).run();
  console.log(
    seed,
    day.served,
    day.refused,
    day.broken,
    day.wronglyBlamed,
    day.crashes.join("+"),
    day.lateArrivals.join("+"),
    `${day.maxLimitedArrivals}/${day.allowedLimitedArrivals.toFixed(0)}`,
    `${day.disruptions.join(", ")} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
