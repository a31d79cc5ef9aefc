import process from "node:process";
import { IncidentDay } from "./incident_day.ts";

const [first = "1", count = "30"] = process.argv.slice(2);

// Seeds from the first on, one day after the other; exits with 1 for a fault.
console.log(
  "seed served refused broken wrong-blame ends late limit troubles | faults",
);
let faulty = 0;
for (let seed = Number(first); seed < Number(first) + Number(count); seed++) {
  const day = await new IncidentDay(seed).play();
  console.log(
    seed,
    day.served,
    day.refused,
    day.broken,
    day.wronglyBlamed,
    day.ends.join("+"),
    day.lateArrivals.join("+"),
    `${day.mostLimited}/${day.allowedLimited.toFixed(0)}`,
    `${day.troubles.join(", ")} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) faulty += 1;
}
console.log(`${faulty} of ${count} days with faults`);
process.exitCode = faulty > 0 ? 1 : 0;
