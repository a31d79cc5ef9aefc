import process from "node:process";
import type { EndingDayKind } from "./ending_day_kind.ts";
import { playEndingDay } from "./play_ending_day.ts";

const [firstSeed = "1", count = "30", kind] = process.argv.slice(2);

// Plays one day after another, one for each of `count` seeds from the first on,
// and prints a line for each. Exits with 1 if a day has faults.
console.log("seed ends late served day | faults");
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const { name, ends, late, served, faults } = await playEndingDay(
    seed,
    kind as EndingDayKind | undefined,
  );
  console.log(seed, ends, late, served, `${name} | ${faults.join("; ")}`);
  if (faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
