import process from "node:process";
import { PartDay } from "../part_day.ts";
import { drawCrowdTerms } from "./draw_crowd_terms.ts";

const [firstSeed = "1", count = "30"] = process.argv.slice(2);

// Plays one day after another, one for each of `count` seeds from the first on,
// and prints a line for each. Exits with 1 if a day has faults.
console.log("seed ends late served blamed mix, crowds, absences | faults");
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const terms = drawCrowdTerms(seed);
  const day = await new PartDay(seed, terms).run();
  const { size = 1, intervalMilliseconds = 0 } = terms.crowds ?? {};
  const absences = terms.absences?.map((
    { gateways, how, behindCrash, milliseconds },
  ) => `${gateways}-${how}@${behindCrash}/${Math.round(milliseconds)}`);
  console.log(
    seed,
    day.crashes,
    day.lateArrivals.join("+") || "-",
    `${day.harmless.served}/${day.harmless.sent}`,
    day.wronglyBlamed,
    `${day.mix}, ${size}/${Math.round(intervalMilliseconds)}, ${
      absences?.join(" ") ?? "none"
    } | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
