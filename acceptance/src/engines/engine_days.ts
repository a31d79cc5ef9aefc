import process from "node:process";
import { PartDay } from "../part_day.ts";
import { drawEngineTerms } from "./draw_engine_terms.ts";

const [firstSeed = "1", count = "30"] = process.argv.slice(2);

// Plays one day after another, one for each of `count` seeds from the first on,
// and prints a line for each. Exits with 1 if a day has faults.
console.log("seed ends late served blamed mix, engines | faults");
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const terms = drawEngineTerms(seed);
  const day = await new PartDay(seed, terms).run();
  const { size = 1 } = terms.crowds ?? {};
  const times = [
    terms.drawFirstByte!(),
    terms.drawCrashDelay!(),
    terms.drawStreamLength!(),
    terms.drawEnding!().restartMilliseconds,
  ].map(Math.round);
  console.log(
    seed,
    day.crashes,
    day.lateArrivals.join("+") || "-",
    `${day.harmless.served}/${day.harmless.sent}`,
    day.wronglyBlamed,
    `${day.mix}, ${day.disruption}, ${size} at once, ${
      times.join("/")
    } ms first byte/end/length/away, one draw of each | ${
      day.faults.join("; ")
    }`,
  );
  if (day.faults.length > 0) faultyDays += 1;
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
