import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashLedger } from "./crash_ledger.ts";
import type { CrashReport } from "./crash_report.ts";

const SETTLE_MILLISECONDS = 150;
const MINUTE = 60_000;
const LONG_AFTER = 20 * MINUTE;
const RUNS = 300;

function ledger(): CrashLedger {
  return new CrashLedger({ settleMilliseconds: SETTLE_MILLISECONDS });
}

/** The one that ends what runs it: its answer has just begun. */
function culprit(incarnation: string, fingerprint = "culprit"): CrashReport {
  return { fingerprint, incarnation, begunMilliseconds: 40 };
}

function bystander(incarnation: string, fingerprint = "beside"): CrashReport {
  return { fingerprint, incarnation, begunMilliseconds: 900 };
}

function reportAll(to: CrashLedger, reports: CrashReport[], now = 0): void {
  for (const report of reports) to.report(report, now);
}

function blamedBy(from: CrashLedger, now = SETTLE_MILLISECONDS): string[] {
  return from.decide(now).map(({ fingerprint }) => fingerprint);
}

// Guards against a request that ends one backend server after the other.
test("under which three backend servers ended is refused for its term", () => {
  const one = ledger();
  reportAll(one, ["a", "b"].map((name) => culprit(name)));
  assert.deepEqual(blamedBy(one), []);
  reportAll(one, [culprit("b"), culprit("c")], 500);
  assert.deepEqual(blamedBy(one, 1_000), ["culprit"]);
  assert.equal(one.refusal("culprit", 2_000)?.crashes, 3);
  assert.equal(one.refusal("other", 2_000), undefined);
});

// Guards against refusing what merely ran beside the request at fault.
test("who stood beside it at all three ends is not blamed", () => {
  const names = ["a", "b", "c"];
  const reports = [
    ...names.map((name) => bystander(name)),
    ...names.map((name) => culprit(name)),
  ];
  const one = ledger();
  reportAll(one, reports);
  assert.deepEqual(blamedBy(one), ["culprit"]);
  // Copies of it under way go on ending what they run on.
  reportAll(one, ["d", "e", "f"].map((name) => culprit(name)), 300);
  reportAll(one, ["d", "e", "f"].map((name) => bystander(name)), 300);
  assert.deepEqual(blamedBy(one, 600), []);
});

test("what only waited there counts by half", () => {
  const one = ledger();
  const waiting = (incarnation: string) => ({
    ...bystander(incarnation),
    begunMilliseconds: undefined,
  });
  reportAll(one, ["a", "b", "c", "d", "e"].map(waiting));
  assert.deepEqual(blamedBy(one), []);
  reportAll(one, [waiting("f")]);
  assert.deepEqual(blamedBy(one), ["beside"]);
});

test("a good end takes suspicion and blame away", () => {
  const one = ledger();
  reportAll(one, ["a", "b"].map((name) => bystander(name)));
  assert.equal(one.clear("beside"), true);
  reportAll(one, ["c", "d"].map((name) => bystander(name)));
  assert.deepEqual(blamedBy(one), []);
  assert.equal(one.clear("stranger"), false);
});

test("behind its term one run is tried, and another end costs more", () => {
  const one = ledger();
  reportAll(one, ["a", "b", "c"].map((name) => culprit(name)));
  const [blame] = one.decide(SETTLE_MILLISECONDS);
  const over = blame!.endsAt + 1;
  assert.equal(one.refusal("culprit", over), undefined, "the trial");
  assert.ok(one.refusal("culprit", over + 1), "no second one beside it");
  one.report(culprit("d"), over + 100);
  const again = one.refusal("culprit", over + LONG_AFTER);
  assert.equal(again?.termMilliseconds, 2 * blame!.termMilliseconds);
});

test("two such requests at once are both found", () => {
  const one = ledger();
  const both = ["a", "b", "c", "d", "e", "f"].flatMap((name, index) => [
    culprit(name, index % 2 === 0 ? "first" : "second"),
    bystander(name),
  ]);
  reportAll(one, both);
  assert.deepEqual(blamedBy(one).sort(), ["first", "second"]);
  assert.equal(one.isBlamed("beside", MINUTE), false);
});

// Guards against a flood of reports that fills the memory of a host.
test("a flood of reports is held in bounds, and the culprit found in it", () => {
  const one = ledger();
  for (let index = 0; index < 100_000; index += 1) {
    one.report(bystander(`server-${index}`, `request-${index}`), 0);
    if (index % 30_000 === 0) one.report(culprit(`end-${index}`), 0);
    if (index % 1_000 === 0 && index > 0) {
      one.report(culprit(`end-${Math.floor(index / 30_000) * 30_000}`), 0);
    }
  }
  assert.ok(one.suspectCount <= 4_096);
  assert.deepEqual(blamedBy(one), ["culprit"]);
});

// Guards against hosts that judge differently by the order of what they hear.
test("whatever the order, copies and losses, the culprit alone is blamed", () => {
  const world = fc.record({
    ends: fc.integer({ min: 4, max: 12 }),
    beside: fc.array(fc.nat({ max: 2 ** 20 }), { maxLength: 12 }),
    lost: fc.infiniteStream(fc.nat({ max: 9 })),
    order: fc.infiniteStream(fc.nat({ max: 2 ** 20 })),
  });
  fc.assert(
    fc.property(world, ({ ends, beside, lost, order }) => {
      const names = Array.from({ length: ends }, (_, index) => `end-${index}`);
      const reports = names.flatMap((name, index) => [
        culprit(name),
        // Where it was is the bits of its number.
        ...beside
          .map((where, who) => ({ where, who }))
          .filter(({ where }) => (where >> index) & 1)
          .map(({ who }) => bystander(name, `beside-${who}`)),
      ]);
      const heard = reports.filter((report) =>
        report.fingerprint === "culprit" || lost.next().value !== 0
      );
      const copies = [...heard, ...heard]
        .map((report) => ({ report, at: order.next().value }))
        .sort((left, right) => left.at - right.at)
        .map(({ report }) => report);
      const one = ledger();
      reportAll(one, copies);
      assert.deepEqual(blamedBy(one), ["culprit"]);
    }),
    { numRuns: RUNS },
  );
});

// Guards against a gateway that blames who stood beside a request elsewhere.
test("what another host blames explains the ends that were seen here", () => {
  const here = ledger();
  const there = ledger();
  const names = ["a", "b", "c"];
  reportAll(here, names.map((name) => bystander(name)));
  reportAll(there, names.map((name) => culprit(name)));
  for (const blame of there.decide(SETTLE_MILLISECONDS)) {
    assert.equal(here.learn(blame), true);
    assert.equal(here.learn(blame), false);
  }
  assert.deepEqual(blamedBy(here), []);
  assert.ok(here.refusal("culprit", MINUTE));
});
