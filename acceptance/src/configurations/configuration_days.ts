import process from "node:process";
import { ConfigurationDay } from "./configuration_day.ts";
import { CONFIGURATION_SHAPES } from "./configuration_shapes.ts";

const [firstSeed = "1", count = "50", name = "small"] = process.argv.slice(2);
const shape = CONFIGURATION_SHAPES[name as keyof typeof CONFIGURATION_SHAPES];

// Runs one simulated day after another, one for each of `count` seeds from the
// first on, and prints a line for each. Exits with 1 if a day has faults.
console.log(
  "seed acknowledged read shown judged read-after | troubles | faults",
);
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const day = await new ConfigurationDay(seed, shape).run();
  console.log(
    seed,
    day.acknowledged,
    day.read,
    day.shown,
    day.judged,
    `${day.readAfterMilliseconds} | ${day.troubles.join(", ")} |`,
    day.faults.slice(0, 20).join("; "),
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
