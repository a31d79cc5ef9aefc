import process from "node:process";
import { LeavingDay } from "./leaving_day.ts";

const [firstSeed = "1", count = "50", controlHosts, gateways] = process.argv
  .slice(2);

// Runs one simulated day after another, one for each of `count` seeds from the
// first on, and prints a line for each. Exits with 1 if a day has faults.
console.log(
  "seed sent served leavings unacknowledged p50/p95/max judged | faults",
);
let faultyDays = 0;
for (
  let seed = Number(firstSeed);
  seed < Number(firstSeed) + Number(count);
  seed++
) {
  const day = await new LeavingDay(seed, {
    ...(controlHosts !== undefined && { controlHosts: Number(controlHosts) }),
    ...(gateways !== undefined && {
      gateways: Number(gateways),
      clientsPerGateway: Math.max(1, Math.floor(16 / Number(gateways))),
    }),
  }).run();
  console.log(
    seed,
    day.sent,
    day.served,
    day.leavings,
    day.unacknowledged,
    day.acknowledgedIn.join("/"),
    `${day.judged} | ${day.faults.join("; ")}`,
  );
  if (day.faults.length > 0) {
    faultyDays += 1;
    console.log(`  ${day.troubles.join(", ")}`);
  }
}
console.log(`${faultyDays} of ${count} days with faults`);
process.exitCode = faultyDays > 0 ? 1 : 0;
