// Reads reports of simulated days. For each day prints the lost worth by cause
// and by price, as percentages of the worth that the day could have had.
//   node tools/print_ledger.mjs REPORT...
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import process from "node:process";

/**
 * Events that cost worth. `after` is how many seconds the effect lasts, counted
 * from the event's start (`at_s`) or end (`to_s`), as `from` says. A second in
 * the effect of several events counts for the first of these causes.
 */
const CAUSES = [
  { name: "final fault", eventKind: /^closing/, from: "at_s", after: 10 },
  {
    name: "version change",
    eventKind: /^version_bump/,
    from: "at_s",
    after: 13,
  },
  { name: "zone cut", eventKind: /^(zone|core)_cut/, from: "to_s", after: 3 },
  { name: "empty engines", eventKind: /^scale_out/, from: "at_s", after: 6 },
];

function findCause(second, events) {
  for (const { name, eventKind, from, after } of CAUSES) {
    const isInEffect = events.some((event) =>
      eventKind.test(event.kind) && second >= Math.floor(event.at_s) - 1 &&
      second < event[from] + after
    );
    if (isInEffect) return name;
  }
  return "other seconds";
}

function sumLosses({ windows, events, all }) {
  const lost = new Map();
  for (const { name, n, worth } of windows) {
    const cause = findCause(Number(name), events);
    const sum = lost.get(cause) ?? 0;
    lost.set(cause, sum + 100 * n * (1 - worth) / all.n);
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
