import process from "node:process";
import { drawEndingTerms } from "../endings/draw_ending_terms.ts";
import { PartDay } from "../part_day.ts";
import { drawCallerTerms } from "./draw_caller_terms.ts";

const [firstSeed = "1", count = "30"] = process.argv.slice(2);

// Plays one day after another, one for each of `count` seeds from the first on,
// and prints a line for each. Exits with 1 if a day has faults.
console.log("seed ends late served blamed mix, callers | faults");
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const callers = drawCallerTerms(seed);
  // On each third day servers end in many ways.
  const endings = seed % 3 === 0 ? drawEndingTerms(seed) : {};
  const day = await new PartDay(seed, { ...endings, ...callers }).run();
  const losses = callers.powerLosses?.map(({ hosts, behindCrash }) =>
    `${hosts}@${behindCrash}`
  );
  console.log(
    seed,
    day.crashes,
    day.lateArrivals.join("+") || "-",
    `${day.harmless.served}/${day.harmless.sent}`,
    day.wronglyBlamed,
    `${day.mix}, ${callers.drawLeaving ? "leave" : "stay"}, ${
      callers.repeats ?? 0
    } again, ${losses?.join(" ") ?? day.disruption} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
