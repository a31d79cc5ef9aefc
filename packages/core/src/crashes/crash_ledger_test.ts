import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashLedger } from "./crash_ledger.ts";
import type { CrashReport } from "./crash_report.ts";

const DECISION_DELAY_MILLISECONDS = 150;
const MINUTE_MILLISECONDS = 60_000;
const LONG_AFTER_MILLISECONDS = 20 * MINUTE_MILLISECONDS;
const RUNS = 300;

function createLedger(): CrashLedger {
  return new CrashLedger({
    decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
  });
}

/** A report of the request at fault: its answer has just started. */
function culpritReport(
  incarnation: string,
  fingerprint = "culprit",
): CrashReport {
  return { fingerprint, incarnation, begunMilliseconds: 40 };
}

function bystanderReport(
  incarnation: string,
  fingerprint = "beside",
): CrashReport {
  return { fingerprint, incarnation, begunMilliseconds: 900 };
}

function reportAll(to: CrashLedger, reports: CrashReport[], now = 0): void {
  for (const report of reports) to.recordReport(report, now);
}

function decideFingerprints(
  from: CrashLedger,
  now = DECISION_DELAY_MILLISECONDS,
): string[] {
  return from.blameSuspects(now).map(({ fingerprint }) => fingerprint);
}

// Guards against a request that crashes one backend server after the other.
test("a request at three crashes of backend servers is refused for a period", () => {
  const ledger = createLedger();
  reportAll(ledger, ["a", "b"].map((name) => culpritReport(name)));
  assert.deepEqual(decideFingerprints(ledger), []);
  reportAll(ledger, [culpritReport("b"), culpritReport("c")], 500);
  assert.deepEqual(decideFingerprints(ledger, 1_000), ["culprit"]);
  assert.equal(ledger.checkBlame("culprit", 2_000)?.crashes, 3);
  assert.equal(ledger.checkBlame("other", 2_000), undefined);
});

// Guards against a decision that each further crash puts off.
test("further crashes do not put off the decision", () => {
  const ledger = createLedger();
  reportAll(ledger, ["a", "b", "c"].map((name) => culpritReport(name)));
  reportAll(ledger, [culpritReport("d")], 100);
  assert.deepEqual(decideFingerprints(ledger, 149), []);
  assert.deepEqual(decideFingerprints(ledger, 150), ["culprit"]);
});

// Guards against telling other hosts of a hundred requests that ran beside the
// one at fault, and not of that one.
test("the likeliest culprit comes first of those that may not be retried", () => {
  const ledger = createLedger();
  const besides = Array.from({ length: 100 }, (_, index) => `beside-${index}`);
  for (const incarnation of ["a", "b"]) {
    reportAll(ledger, [
      ...besides.map((name) => bystanderReport(incarnation, name)),
      culpritReport(incarnation),
    ]);
  }
  reportAll(ledger, [culpritReport("a", "once")]);
  const suspicions = ledger.listSuspicions();
  assert.equal(suspicions.length, besides.length + 1, "not those at one crash");
  assert.deepEqual(suspicions[0], [culpritReport("a"), culpritReport("b")]);
  reportAll(ledger, [culpritReport("c")]);
  assert.deepEqual(decideFingerprints(ledger), ["culprit"]);
  assert.deepEqual(ledger.listSuspicions(), [], "their crashes are explained");
});

// Guards against refusing requests that only ran beside the one at fault.
test("a request in flight at all three crashes of another is not blamed", () => {
  const names = ["a", "b", "c"];
  const reports = [
    ...names.map((name) => bystanderReport(name)),
    ...names.map((name) => culpritReport(name)),
  ];
  const ledger = createLedger();
  reportAll(ledger, reports);
  assert.deepEqual(decideFingerprints(ledger), ["culprit"]);
  // Copies of the culprit that are still in flight cause further crashes.
  reportAll(ledger, ["d", "e", "f"].map((name) => culpritReport(name)), 300);
  reportAll(ledger, ["d", "e", "f"].map((name) => bystanderReport(name)), 300);
  assert.deepEqual(decideFingerprints(ledger, 600), []);
});

test("a crash before the request's answer started counts half", () => {
  const ledger = createLedger();
  const waiting = (incarnation: string) => ({
    ...bystanderReport(incarnation),
    begunMilliseconds: undefined,
  });
  reportAll(ledger, ["a", "b", "c", "d", "e"].map(waiting));
  assert.deepEqual(decideFingerprints(ledger), []);
  reportAll(ledger, [waiting("f")]);
  assert.deepEqual(decideFingerprints(ledger), ["beside"]);
});

test("a successful run removes suspicion and blame", () => {
  const ledger = createLedger();
  reportAll(ledger, ["a", "b"].map((name) => bystanderReport(name)));
  assert.equal(ledger.clear("beside"), true);
  reportAll(ledger, ["c", "d"].map((name) => bystanderReport(name)));
  assert.deepEqual(decideFingerprints(ledger), []);
  assert.equal(ledger.clear("stranger"), false);
});

test("one trial run follows the refusal period, and a crash in it doubles the next", () => {
  const ledger = createLedger();
  reportAll(ledger, ["a", "b", "c"].map((name) => culpritReport(name)));
  const [blame] = ledger.blameSuspects(DECISION_DELAY_MILLISECONDS);
  const trialAt = blame!.endsAt + 1;
  assert.equal(ledger.checkBlame("culprit", trialAt), undefined, "the trial");
  assert.ok(
    ledger.checkBlame("culprit", trialAt + 1),
    "no second one beside it",
  );
  ledger.recordReport(culpritReport("d"), trialAt + 100);
  const again = ledger.checkBlame("culprit", trialAt + LONG_AFTER_MILLISECONDS);
  assert.equal(again?.termMilliseconds, 2 * blame!.termMilliseconds);
});

// Guards against trial runs of many hosts at the same moment.
test("where trial runs need a permit, it admits one run", () => {
  const ledger = new CrashLedger({
    decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
    waitsForPermits: true,
  });
  reportAll(ledger, ["a", "b", "c"].map((name) => culpritReport(name)));
  const [blame] = ledger.blameSuspects(DECISION_DELAY_MILLISECONDS);
  const trialAt = blame!.endsAt + 1;
  assert.ok(ledger.checkBlame("culprit", trialAt), "not without a permit");
  assert.ok(ledger.isDueForTrial("culprit", trialAt));
  ledger.beginTrial("culprit", trialAt);
  assert.ok(ledger.checkBlame("culprit", trialAt), "it is another host's");
  ledger.permitTrial("culprit", trialAt);
  assert.equal(ledger.checkBlame("culprit", trialAt + 1), undefined);
  assert.ok(ledger.checkBlame("culprit", trialAt + 2), "one only");
  assert.equal(ledger.isDueForTrial("culprit", trialAt + 3), false);
});

test("two requests that crash backend servers at once are both blamed", () => {
  const ledger = createLedger();
  const both = ["a", "b", "c", "d", "e", "f"].flatMap((name, index) => [
    culpritReport(name, index % 2 === 0 ? "first" : "second"),
    bystanderReport(name),
  ]);
  reportAll(ledger, both);
  assert.deepEqual(decideFingerprints(ledger).sort(), ["first", "second"]);
  assert.equal(ledger.isRefused("beside", MINUTE_MILLISECONDS), false);
});

// Guards against a flood of reports that exhausts a host's memory.
test("a flood of reports stays within bounds, and the culprit is found", () => {
  const ledger = createLedger();
  for (let index = 0; index < 100_000; index += 1) {
    ledger.recordReport(
      bystanderReport(`server-${index}`, `request-${index}`),
      0,
    );
    if (index % 30_000 === 0) {
      ledger.recordReport(culpritReport(`end-${index}`), 0);
    }
    if (index % 1_000 === 0 && index > 0) {
      ledger.recordReport(
        culpritReport(`end-${Math.floor(index / 30_000) * 30_000}`),
        0,
      );
    }
  }
  assert.ok(ledger.suspectCount <= 4_096);
  assert.deepEqual(decideFingerprints(ledger), ["culprit"]);
});

// Guards against hosts that blame differently because reports arrive in
// another order.
test("reordered, copied or lost reports: only the culprit is blamed", () => {
  const scenario = fc.record({
    crashCount: fc.integer({ min: 4, max: 12 }),
    beside: fc.array(fc.nat({ max: 2 ** 20 }), { maxLength: 12 }),
    lost: fc.infiniteStream(fc.nat({ max: 9 })),
    order: fc.infiniteStream(fc.nat({ max: 2 ** 20 })),
  });
  fc.assert(
    fc.property(scenario, ({ crashCount, beside, lost, order }) => {
      const names = Array.from(
        { length: crashCount },
        (_, index) => `end-${index}`,
      );
      const reports = names.flatMap((name, index) => [
        culpritReport(name),
        // Bit `index` of a bystander's number: in flight at that crash.
        ...beside
          .map((presence, number) => ({ presence, number }))
          .filter(({ presence }) => (presence >> index) & 1)
          .map(({ number }) => bystanderReport(name, `beside-${number}`)),
      ]);
      const received = reports.filter((report) =>
        report.fingerprint === "culprit" || lost.next().value !== 0
      );
      const copies = [...received, ...received]
        .map((report) => ({ report, at: order.next().value }))
        .sort((left, right) => left.at - right.at)
        .map(({ report }) => report);
      const ledger = createLedger();
      reportAll(ledger, copies);
      assert.deepEqual(decideFingerprints(ledger), ["culprit"]);
    }),
    { numRuns: RUNS },
  );
});

// Guards against a gateway that blames a bystander of a request that another
// host has already blamed.
test("crashes that another host attributes to a request blame no other", () => {
  const here = createLedger();
  const there = createLedger();
  const names = ["a", "b", "c"];
  reportAll(here, names.map((name) => bystanderReport(name)));
  reportAll(there, names.map((name) => culpritReport(name)));
  for (const blame of there.blameSuspects(DECISION_DELAY_MILLISECONDS)) {
    assert.equal(here.mergeBlame(blame), true);
    assert.equal(here.mergeBlame(blame), false);
  }
  assert.deepEqual(decideFingerprints(here), []);
  assert.ok(here.checkBlame("culprit", MINUTE_MILLISECONDS));
});
