import assert from "node:assert/strict";
import { test } from "node:test";
import { AnswerVisibility } from "./answer_visibility.ts";
import { CrashLedger } from "./crash_ledger.ts";

const HARMFUL = "bad";
const FIRST = "first";
/** Long enough for a decision on any part. */
const DECISION_MILLISECONDS = 3_000;
const CRASH_MILLISECONDS = 50;

function createLedger(): CrashLedger {
  return new CrashLedger({ decisionDelayMilliseconds: 120 });
}

let requestCount = 0;

/** A crash soon after an answer to a request like no other has started. */
function crash(ledger: CrashLedger, at: number, ...parts: string[]): string {
  requestCount += 1;
  const fingerprint = `request-${requestCount}`;
  const report = {
    fingerprint,
    parts,
    incarnation: `server-${requestCount}`,
    begunMilliseconds: CRASH_MILLISECONDS,
    crashedAt: at,
  };
  ledger.recordReport(report, at + 80);
  return fingerprint;
}

function survive(ledger: CrashLedger, part: string, begunAt: number) {
  const livedMilliseconds = 400;
  return ledger.recordSurvival({
    part,
    begunAt,
    livedMilliseconds,
    isComplete: true,
  });
}

function blame(ledger: CrashLedger, at: number): string[] {
  return ledger.blameSuspects(at + DECISION_MILLISECONDS)
    .map(({ fingerprint }) => fingerprint);
}

function isRefused(
  ledger: CrashLedger,
  at: number,
  ...parts: string[]
): boolean {
  return ledger.isRefused("another", at + DECISION_MILLISECONDS, parts);
}

// Guards against a first part that is refused for what came with it.
test("indistinguishable parts are refused in combination only", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST, HARMFUL);
  assert.deepEqual(blame(ledger, 600), ["part:bad+part:first"]);
  assert.equal(isRefused(ledger, 600, FIRST), false);
  assert.equal(isRefused(ledger, 600, HARMFUL), false);
  assert.equal(isRefused(ledger, 600, HARMFUL, FIRST, "more"), true);
  const { lifted, narrowed } = survive(ledger, FIRST, 700);
  assert.deepEqual(lifted, ["part:bad+part:first"]);
  assert.deepEqual(narrowed.map(({ fingerprint }) => fingerprint), [
    "part:bad",
  ]);
  assert.equal(isRefused(ledger, 600, HARMFUL), true);
});

// Guards against a blame that leaves out the culprit of many parts, and refuses
// harmless requests with the others.
test("all parts that always stand together are blamed in combination", () => {
  const ledger = createLedger();
  const companions = ["c0", "c1", "c2", "c3", "c4", "c5", "c6", "c7"];
  for (const at of [0, 300, 600]) crash(ledger, at, ...companions, HARMFUL);
  blame(ledger, 600);
  assert.equal(isRefused(ledger, 600, ...companions, HARMFUL), true);
  assert.equal(isRefused(ledger, 600, ...companions), false);
});

// Guards against a harmful part that hides behind a blame of two.
test("crashes without one of two blamed parts blame the other", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST, HARMFUL);
  blame(ledger, 600);
  const later = 4_000;
  for (const at of [0, 300, 600]) crash(ledger, later + at, "x", HARMFUL);
  survive(ledger, "x", later + 400);
  assert.deepEqual(blame(ledger, later + 600), ["part:bad"]);
});

// Guards against clearing a part by answers from before it became harmful.
test("successes before a part became harmful don't clear it", () => {
  const ledger = createLedger();
  survive(ledger, HARMFUL, -5_000);
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST, HARMFUL);
  survive(ledger, HARMFUL, -100);
  survive(ledger, FIRST, 350);
  assert.deepEqual(blame(ledger, 600), ["part:bad"]);
});

// Guards against answers that end before the crash and clear its cause.
test("an answer shorter than the time to a crash doesn't clear a part", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, HARMFUL);
  const short = { livedMilliseconds: 30, isComplete: true };
  ledger.recordSurvival({ part: HARMFUL, begunAt: 700, ...short });
  assert.deepEqual(blame(ledger, 600), ["part:bad"]);
});

// Guards against a sound part that stays blamed for crashes of another's.
test("a survival after its last crash frees a part, and its crashes count again", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST);
  assert.deepEqual(blame(ledger, 600), ["part:first"]);
  assert.deepEqual(survive(ledger, FIRST, 500).lifted, []);
  assert.deepEqual(survive(ledger, FIRST, 650).lifted, ["part:first"]);
  assert.equal(isRefused(ledger, 600, FIRST), false);
});

// Guards against a host that was cut off while a wrong blame was lifted, and
// brings it back.
test("a lifted blame is not taken over again, but one with a new crash is", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST);
  blame(ledger, 600);
  const [lifted] = ledger.listBlames();
  survive(ledger, FIRST, 650);
  assert.equal(ledger.mergeBlame(lifted!), false);
  assert.equal(ledger.hasLifted(lifted!), true);
  assert.equal(isRefused(ledger, 600, FIRST), false);
  const incarnations = [...lifted!.incarnations, "server-later"];
  assert.equal(ledger.mergeBlame({ ...lifted!, incarnations }), true);
  assert.equal(isRefused(ledger, 600, FIRST), true);
});

/** Blames a request that was sent again, three times. */
function blameSame(ledger: CrashLedger): void {
  for (const [index, at] of [0, 300, 600].entries()) {
    ledger.recordReport({
      fingerprint: "same",
      parts: [FIRST, "own"],
      incarnation: `same-${index}`,
      begunMilliseconds: CRASH_MILLISECONDS,
      crashedAt: at,
    }, at + 80);
  }
  assert.deepEqual(blame(ledger, 600), ["same"]);
}

// Guards against counting one crash against both a request and its parts, also
// where others with these parts merely stand beside further crashes.
test("crashes attributed to a request are no evidence against its parts", () => {
  const ledger = createLedger();
  blameSame(ledger);
  assert.deepEqual(blame(ledger, 3_000), []);
  for (const at of [4_000, 4_300]) {
    ledger.recordReport({
      fingerprint: `beside-${at}`,
      parts: [FIRST, "own"],
      incarnation: `other-${at}`,
      begunMilliseconds: 900,
      crashedAt: at,
    }, at + 80);
  }
  assert.deepEqual(blame(ledger, 4_300), []);
  assert.equal(isRefused(ledger, 4_300, FIRST, "own"), false);
});

// Guards against a harmful part that is found anew only after three crashes of
// each request that is sent again and blamed as a whole.
test("a crash like those of a blamed request blames a part of both", () => {
  const ledger = createLedger();
  blameSame(ledger);
  survive(ledger, FIRST, 3_000);
  crash(ledger, 4_000, FIRST, "own");
  assert.deepEqual(blame(ledger, 4_000), ["part:own"]);
});

// Guards against a companion that takes the crashes off the harmful part: those
// of a joint blame count again for the part that crashes without the other.
test("one more crash without its companion blames the harmful part", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, HARMFUL, "beside");
  assert.deepEqual(blame(ledger, 600), ["part:bad+part:beside"]);
  crash(ledger, 2_000, HARMFUL, "other");
  assert.deepEqual(blame(ledger, 2_000), ["part:bad"]);
});

// Guards against refusing what all requests share, as no host was there to tell
// of the answers that survived.
test("no part is blamed before its answers were watched at most hosts", () => {
  let coveredSince = Infinity;
  const ledger = new CrashLedger({
    decisionDelayMilliseconds: 120,
    coveredSince: () => coveredSince,
  });
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST, HARMFUL);
  assert.deepEqual(blame(ledger, 5_000), []);
  coveredSince = 5_000;
  assert.deepEqual(ledger.blameSuspects(5_300), []);
  survive(ledger, FIRST, 5_100);
  assert.deepEqual(blame(ledger, 6_000), ["part:bad"]);
});

// Guards against a blame that was wrong and goes on explaining crashes: once the
// request has come to a good end they speak against what was beside it.
test("the crashes of a request that is cleared count again", () => {
  const ledger = createLedger();
  blameSame(ledger);
  assert.equal(ledger.clear("same"), true);
  assert.deepEqual(blame(ledger, 1_200), ["part:first+part:own"]);
});

// Guards against refusing a sound request that was sent again and again, each
// time while one with a harmful part was in flight.
test("a bystander of a harmful part at three crashes is not blamed", () => {
  const ledger = createLedger();
  for (const [index, at] of [0, 150, 300].entries()) {
    const incarnation = `both-${index}`;
    const crashed = { incarnation, crashedAt: at };
    ledger.recordReport({
      ...crashed,
      fingerprint: "beside",
      parts: [FIRST, "own"],
      begunMilliseconds: 900,
    }, at + 20);
    ledger.recordReport({
      ...crashed,
      fingerprint: `new-${index}`,
      parts: [FIRST, HARMFUL],
      begunMilliseconds: 40,
    }, at + 20);
  }
  survive(ledger, FIRST, 50);
  assert.deepEqual(ledger.blameSuspects(450), [], "the part is judged later");
  assert.deepEqual(blame(ledger, 300), ["part:bad"]);
});

/** Ten servers fail within 50 ms, in requests that have just begun. */
function failRack(ledger: CrashLedger): void {
  for (let server = 0; server < 10; server += 1) {
    crash(ledger, server * 5, FIRST, "common");
  }
}

// Guards against a rack that fails and takes with it what all requests share.
test("crashes of one moment blame no part while answers on it survive", () => {
  const ledger = createLedger();
  failRack(ledger);
  assert.deepEqual(ledger.blameSuspects(1_300), []);
  for (const part of [FIRST, "common"]) survive(ledger, part, 100);
  assert.deepEqual(blame(ledger, 50), []);
  assert.deepEqual(blame(ledger, 60_000), []);
});

// Guards against blaming what all requests share when all servers fail at once:
// nobody is left to answer.
test("crashes of one moment blame no part while nobody can answer", () => {
  const answers = new AnswerVisibility();
  const watcher = answers.join(-60_000, 0);
  const ledger = new CrashLedger({ decisionDelayMilliseconds: 120, answers });
  failRack(ledger);
  answers.recordServing(false, 100);
  for (let now = 0; now <= 60_000; now += 1_000) {
    answers.hear(watcher, now);
    assert.deepEqual(ledger.blameSuspects(now), []);
  }
});

// Guards against a crowd of harmful requests that ends many servers at one
// moment, and a decision that waits for the next.
test("crashes of one moment blame a part on which nothing survives", () => {
  const ledger = createLedger();
  for (let server = 0; server < 5; server += 1) {
    crash(ledger, server * 5, FIRST, HARMFUL);
  }
  survive(ledger, FIRST, 100);
  assert.deepEqual(ledger.blameSuspects(1_300), []);
  assert.deepEqual(blame(ledger, -1_000), ["part:bad"]);
});

// Guards against a flood of rare parts that evicts the harmful one, or
// exhausts a host's memory. A host takes 150 reports a second from another.
test("a flood of rare parts stays within bounds, and the harmful one is found", () => {
  const ledger = createLedger();
  const REPORTS_PER_SECOND = 150;
  const SECONDS = 120;
  const HARMFUL_INTERVAL_SECONDS = 10;
  for (let index = 0; index < SECONDS * REPORTS_PER_SECOND; index += 1) {
    const at = index * 1_000 / REPORTS_PER_SECOND;
    const isHarmful =
      index % (HARMFUL_INTERVAL_SECONDS * REPORTS_PER_SECOND) === 0;
    if (isHarmful) crash(ledger, at, `rare-${index}`, HARMFUL);
    ledger.recordReport({
      fingerprint: `flood-${index}`,
      parts: [`rare-${index}-a`, `rare-${index}-b`],
      incarnation: `flood-${Math.floor(index / 100)}`,
      begunMilliseconds: 900,
      crashedAt: at,
    }, at);
  }
  assert.ok(ledger.suspectCount <= 2 * 4_096);
  const [first] = ledger.listPartWatches({ minWeight: 3 });
  assert.equal(first?.part, HARMFUL);
});
