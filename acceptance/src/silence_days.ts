import process from "node:process";
import { SilenceDay } from "./silence_day.ts";

const [firstSeed = "1", count = "30"] = process.argv.slice(2);

// Runs one simulated day after another, one for each of `count` seeds from the
// first on, and prints a line for each. Exits with 1 if a day has faults.
console.log(
  "seed silences served refused broken stall excused troubles | faults",
);
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const day = await new SilenceDay(seed).run();
  const troubles = [...day.spells, ...day.troubles].join(", ");
  console.log(
    seed,
    day.silences,
    day.served,
    day.refused,
    day.broken,
    day.longestStallMilliseconds,
    `${JSON.stringify(day.excused)} ${troubles} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
