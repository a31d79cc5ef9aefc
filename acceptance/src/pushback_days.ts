import process from "node:process";
import { PushbackDay } from "./pushback_day.ts";

const [firstSeed = "1", count = "30"] = process.argv.slice(2);

// Runs one simulated day after another, one for each of `count` seeds from the
// first on, and prints a line for each. Exits with 1 if a day has faults.
console.log("seed served refused broken rejected notices troubles | faults");
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const day = await new PushbackDay(seed).run();
  console.log(
    seed,
    day.served,
    day.refused,
    day.broken,
    day.rejections,
    day.notices,
    `${day.troubles.join(", ")} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
