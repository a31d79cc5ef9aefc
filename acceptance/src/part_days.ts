import process from "node:process";
import { PartDay } from "./part_day.ts";

const [firstSeed = "0", count = "30"] = process.argv.slice(2);

// Runs one simulated day after another, one for each of `count` seeds from the
// first on, and prints a line for each. Exits with 1 if a day has faults.
console.log(
  "seed crashes late stopped-after served blamed mix, disruption | faults",
);
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const day = await new PartDay(seed).run();
  console.log(
    seed,
    day.crashes,
    day.lateArrivals.join("+") || "-",
    day.stoppedAfterMilliseconds.map((time) => time ?? "-").join("+") || "-",
    `${day.harmless.served}/${day.harmless.sent}`,
    day.wronglyBlamed,
    `${day.mix}, ${day.disruption} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
