// Where the worth of played days was lost: reads reports of days and prints,
// for each, hundredths of what was owed by cause and by price.
//   node tools/print_ledger.mjs REPORT...
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import process from "node:process";

/** Seconds that a cause goes on after its trouble has begun, or ended. */
const CAUSES = [
  { name: "final fault", kind: /^closing/, from: "at_s", after: 10 },
  { name: "version change", kind: /^version_bump/, from: "at_s", after: 13 },
  { name: "zone cut", kind: /^(zone|core)_cut/, from: "to_s", after: 3 },
  { name: "empty engines", kind: /^scale_out/, from: "at_s", after: 6 },
];

function causeOf(second, events) {
  for (const { name, kind, from, after } of CAUSES) {
    const isNear = events.some((event) =>
      kind.test(event.kind) && second >= Math.floor(event.at_s) - 1 &&
      second < event[from] + after
    );
    if (isNear) return name;
  }
  return "other seconds";
}

function sumLosses({ windows, events, all }) {
  const lost = new Map();
  for (const { name, n, worth } of windows) {
    const cause = causeOf(Number(name), events);
    const before = lost.get(cause) ?? 0;
    lost.set(cause, before + 100 * n * (1 - worth) / all.n);
  }
  return lost;
}

function printReport(path) {
  const report = JSON.parse(readFileSync(path, "utf8"));
  const byCause = [...sumLosses(report)]
    .sort((left, right) => right[1] - left[1])
    .map(([cause, lost]) => `${cause} ${lost.toFixed(1)}`);
  const prices = report.prices
    .filter(([, , worth]) => worth >= 0.002)
    .map(([price, , worth]) => `${price} ${(100 * worth).toFixed(1)}`);
  console.log(`${basename(path)}: worth ${report.G.toFixed(3)}`);
  console.log(`  lost: ${byCause.join(", ")}`);
  console.log(`  prices: ${prices.join(", ")}`);
}

for (const path of process.argv.slice(2)) printReport(path);
