import assert from "node:assert/strict";
import { test } from "node:test";
import { RecentReports } from "./recent_reports.ts";

// Guards against a control host that never hears of ends while it was away, and
// against lists of them that grow in a wave of ends.
test("the latest reports are kept for a while, those that began last", () => {
  const reports = new RecentReports();
  for (let index = 0; index < 100; index += 1) {
    reports.add({
      fingerprint: `request-${index}`,
      incarnation: "server@1",
      begunMilliseconds: index % 2 === 0 ? 20 : 900 + index,
    }, index);
  }
  const kept = reports.list(1_000);
  assert.equal(kept.length, 64);
  const young = kept.filter(({ begunMilliseconds }) =>
    begunMilliseconds === 20
  );
  assert.equal(young.length, 50);
  reports.forget("request-98");
  assert.equal(reports.list(1_000).length, 63);
  assert.deepEqual(reports.list(61_000), []);
});

// Guards against evidence that is dropped first since no answer had begun, though
// what ends a server mostly does so before others there have begun.
test("requests that were sent last are kept, whether answers had begun or not", () => {
  const reports = new RecentReports();
  for (let index = 0; index < 100; index += 1) {
    reports.add({
      fingerprint: `request-${index}`,
      incarnation: "server@1",
      ...(index < 10
        ? { begunMilliseconds: undefined, sentMilliseconds: 200 }
        : { begunMilliseconds: 300, sentMilliseconds: 500 + index }),
    }, index);
  }
  const unstarted = reports.list(1_000)
    .filter(({ begunMilliseconds }) => begunMilliseconds === undefined);
  assert.equal(unstarted.length, 10);
});
