import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashLedger } from "./crash_ledger.ts";
import { GoodEndRecorder } from "./good_end_recorder.ts";

const HARMFUL = "bad";
const FIRST = "first";
/** Long enough for a decision on any part. */
const DECISION_MILLISECONDS = 3_000;
const STEP_MILLISECONDS = 100;
const CRASH_MILLISECONDS = 50;
const ANSWER_MILLISECONDS = 400;
/** Good ends without any suspected part, at one gateway. */
const ANSWERS_PER_STEP = 50;
/** More than all parts at once that these tests watch. */
const ENDS_PER_TELLING = 64;

type Answers = { count: number; at: number; parts?: readonly string[] };

/** A gateway that watches what it is told to, and tells of good ends. */
class Gateway {
  #ledger: CrashLedger;
  #source: string;
  #recorder = new GoodEndRecorder();

  constructor(ledger: CrashLedger, source = "gateway") {
    this.#ledger = ledger;
    this.#source = source;
  }

  /** Answers end well here, and nothing is told of them yet. */
  answer({ count, at, parts = ["harmless"] }: Answers): void {
    const sentAt = at - ANSWER_MILLISECONDS;
    for (let index = 0; index < count; index += 1) {
      this.#recorder.record({ parts, sentAt, endedAt: at });
    }
  }

  /** Hears what is watched. */
  watch(now: number): void {
    const watches = this.#ledger.listPartWatches({ minCrashes: 2 });
    this.#ledger.noteWatches(watches, now);
    this.#recorder.watch(watches, now);
  }

  tell(now: number): void {
    const news = this.#recorder.takeNews(now, ENDS_PER_TELLING);
    if (news !== undefined) this.#ledger.addGoodEnds(this.#source, news);
  }

  tellAnew(): void {
    this.#recorder.tellAnew();
  }
}

const gateways = new WeakMap<CrashLedger, Gateway>();

function createLedger(): CrashLedger {
  const ledger = new CrashLedger({ decisionDelayMilliseconds: 120 });
  gateways.set(ledger, new Gateway(ledger));
  return ledger;
}

/** Answers end well at the ledger's gateway, which watches and tells. */
function answerWell(ledger: CrashLedger, answers: Answers): void {
  const gateway = gateways.get(ledger)!;
  gateway.watch(answers.at);
  gateway.answer(answers);
  gateway.tell(answers.at);
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

/** A good end that another host passes on. */
function endWell(ledger: CrashLedger, part: string, sentAt: number) {
  const endedAt = sentAt + ANSWER_MILLISECONDS;
  return ledger.recordGoodEnd({ part, sentAt, endedAt });
}

/** What is blamed until a decision is made, while other answers end well. */
function blame(
  ledger: CrashLedger,
  at: number,
  { answers = ANSWERS_PER_STEP }: { answers?: number } = {},
): string[] {
  const names: string[] = [];
  const until = at + DECISION_MILLISECONDS;
  for (let now = at + 100; now <= until; now += STEP_MILLISECONDS) {
    answerWell(ledger, { count: answers, at: now });
    const blames = ledger.blameSuspects(now);
    names.push(...blames.map(({ fingerprint }) => fingerprint));
  }
  return names;
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
  const { lifted, narrowed } = endWell(ledger, FIRST, 700);
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
  endWell(ledger, "x", later + 400);
  assert.deepEqual(blame(ledger, later + 600), ["part:bad"]);
});

// Guards against clearing a part by answers from before it became harmful.
test("successes before a part became harmful don't clear it", () => {
  const ledger = createLedger();
  endWell(ledger, HARMFUL, -5_000);
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST, HARMFUL);
  endWell(ledger, HARMFUL, -100);
  endWell(ledger, FIRST, 350);
  assert.deepEqual(blame(ledger, 600), ["part:bad"]);
});

/** Tells of answers that only run, as a gateway does. */
function tellRunning(ledger: CrashLedger, part: string, sentAt: number): void {
  ledger.addRunningAnswers("gateway", {
    totals: { count: 10, runMilliseconds: 2_000 },
    starts: [],
    ends: [{ part, sentAt, endedAt: sentAt + 200 }],
  });
}

// Guards against answers that run before the crash and clear its cause.
test("answers that only run clear no part and lift no blame", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, HARMFUL);
  tellRunning(ledger, HARMFUL, 700);
  assert.equal(ledger.evidenceWeightOf("part:bad"), 3);
  assert.deepEqual(blame(ledger, 600), ["part:bad"]);
  tellRunning(ledger, HARMFUL, 3_600);
  assert.equal(ledger.evidenceWeightOf("part:bad"), 3);
  assert.equal(isRefused(ledger, 1_000, HARMFUL), true);
});

// Guards against a sound part that stays blamed for crashes of another's.
test("a good end after its last crash frees a part, and its crashes count again", () => {
  const ledger = createLedger();
  const requests = [0, 300, 600].map((at) => crash(ledger, at, FIRST));
  assert.deepEqual(blame(ledger, 600), ["part:first"]);
  assert.equal(ledger.evidenceWeightOf(requests[2]!), 0);
  assert.deepEqual(endWell(ledger, FIRST, 500).lifted, []);
  assert.deepEqual(endWell(ledger, FIRST, 650).lifted, ["part:first"]);
  assert.equal(isRefused(ledger, 600, FIRST), false);
  assert.ok(ledger.evidenceWeightOf(requests[2]!) > 0);
});

// Guards against a host that was cut off while a wrong blame was lifted, and
// brings it back.
test("a lifted blame is not taken over again, but one with a new crash is", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST);
  blame(ledger, 600);
  const [lifted] = ledger.listBlames();
  endWell(ledger, FIRST, 650);
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
  assert.deepEqual(blame(ledger, 4_000), []);
  for (const at of [8_000, 8_300]) {
    ledger.recordReport({
      fingerprint: `beside-${at}`,
      parts: [FIRST, "own"],
      incarnation: `other-${at}`,
      begunMilliseconds: 900,
      crashedAt: at,
    }, at + 80);
  }
  assert.deepEqual(blame(ledger, 8_300), []);
  assert.equal(isRefused(ledger, 8_300, FIRST, "own"), false);
});

// Guards against a harmful part that is found anew only after three crashes of
// each request that is sent again and blamed as a whole.
test("a crash like those of a blamed request blames a part of both", () => {
  const ledger = createLedger();
  blameSame(ledger);
  endWell(ledger, FIRST, 3_000);
  crash(ledger, 4_000, FIRST, "own");
  assert.deepEqual(blame(ledger, 4_000), ["part:own"]);
});

// Guards against a companion that takes the crashes off the harmful part: those
// of a joint blame count again for the part that crashes without the other.
test("one more crash without its companion blames the harmful part", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, HARMFUL, "beside");
  assert.deepEqual(blame(ledger, 600), ["part:bad+part:beside"]);
  crash(ledger, 4_000, HARMFUL, "other");
  assert.deepEqual(blame(ledger, 4_000), ["part:bad"]);
});

// Guards against refusing what all requests share, as no host was there to tell
// of the answers that came to good ends.
test("no part is blamed while no host has told of answers since it watches", () => {
  const ledger = createLedger();
  const gateway = gateways.get(ledger)!;
  gateway.answer({ count: 5_000, at: -100 });
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST, HARMFUL);
  for (let now = 700; now <= 5_000; now += STEP_MILLISECONDS) {
    assert.deepEqual(ledger.blameSuspects(now), [], "nobody watches");
  }
  for (let now = 5_100; now <= 9_000; now += STEP_MILLISECONDS) {
    gateway.watch(now);
    gateway.tell(now);
    assert.deepEqual(ledger.blameSuspects(now), [], "nothing ended well since");
  }
  endWell(ledger, FIRST, 8_900);
  assert.deepEqual(blame(ledger, 9_000), ["part:bad"]);
});

// Guards against a blame that was wrong and goes on explaining crashes: once the
// request has come to a good end they speak against what was beside it.
test("the crashes of a request that is cleared count again", () => {
  const ledger = createLedger();
  blameSame(ledger);
  assert.equal(ledger.clear("same"), true);
  assert.deepEqual(blame(ledger, 4_000), ["part:first+part:own"]);
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
  endWell(ledger, FIRST, 50);
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
test("crashes of one moment blame no part while answers on it end well", () => {
  const ledger = createLedger();
  failRack(ledger);
  assert.deepEqual(ledger.blameSuspects(1_300), []);
  for (const at of [1_400, 1_900]) {
    answerWell(ledger, { count: 20, at, parts: [FIRST, "common"] });
    assert.deepEqual(ledger.blameSuspects(at), []);
  }
  assert.deepEqual(blame(ledger, 2_000), []);
  assert.deepEqual(blame(ledger, 60_000), []);
});

// Guards against blaming what all requests share when all servers fail at once:
// nobody is left to answer.
test("crashes of one moment blame no part while nobody can answer", () => {
  const ledger = createLedger();
  answerWell(ledger, { count: 5_000, at: -100, parts: [FIRST, "common"] });
  failRack(ledger);
  for (let now = 100; now <= 60_000; now += STEP_MILLISECONDS) {
    answerWell(ledger, { count: 0, at: now });
    assert.deepEqual(ledger.blameSuspects(now), []);
  }
});

// Guards against a crowd of harmful requests that ends many servers at one
// moment, and a decision that waits for the next.
test("crashes of one moment blame a part on which nothing ends well", () => {
  const ledger = createLedger();
  for (let server = 0; server < 5; server += 1) {
    crash(ledger, server * 5, FIRST, HARMFUL);
  }
  endWell(ledger, FIRST, 100);
  assert.deepEqual(blame(ledger, 100, { answers: 0 }), []);
  assert.deepEqual(blame(ledger, 4_000), ["part:bad"]);
});

/** Gateways of their own that watch the ledger's parts. */
function openGateways(ledger: CrashLedger, count: number): Gateway[] {
  return Array.from(
    { length: count },
    (_, index) => new Gateway(ledger, `gateway-${index}`),
  );
}

// Guards against a harmful part that goes on crashing servers while most of the
// gateways are away, for good or not.
test("one gateway that is left decides, and those that are gone aren't waited for", () => {
  const ledger = createLedger();
  const [left, ...others] = openGateways(ledger, 4);
  for (const gateway of [left!, ...others]) {
    gateway.answer({ count: 9, at: -9 });
  }
  for (const at of [0, 300, 600]) crash(ledger, at, HARMFUL);
  for (const gateway of [left!, ...others]) {
    gateway.watch(700);
    gateway.tell(700);
  }
  for (const index of [1, 2, 3]) ledger.forgetGoodEndsOf(`gateway-${index}`);
  const names: string[] = [];
  for (let now = 800; now <= 3_000; now += STEP_MILLISECONDS) {
    left!.watch(now);
    left!.answer({ count: 20, at: now });
    left!.tell(now);
    names.push(...ledger.blameSuspects(now).map((each) => each.fingerprint));
  }
  assert.deepEqual(names, ["part:bad"]);
});

// Guards against blaming what all requests share on the word of gateways that are
// killed, or have just started: nobody is there to tell of answers on it.
test("gateways that are killed, silent or new speak against no part", () => {
  const ledger = createLedger();
  const [killed, silent] = openGateways(ledger, 2);
  silent!.answer({ count: 5_000, at: -100 });
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST);
  for (const gateway of [killed!, silent!]) {
    gateway.watch(700);
    gateway.tell(700);
  }
  killed!.answer({ count: 500, at: 750 });
  killed!.tell(800);
  ledger.addRunningAnswers("gateway-0", {
    totals: { count: 500, runMilliseconds: 100_000 },
    starts: [{ part: FIRST, totals: { count: 0, runMilliseconds: 0 } }],
    ends: [],
  });
  ledger.forgetGoodEndsOf("gateway-0");
  const anew = new Gateway(ledger, "gateway-0-anew");
  for (let now = 800; now <= 60_000; now += STEP_MILLISECONDS) {
    anew.watch(now);
    anew.tell(now);
    killed!.tell(now);
    assert.deepEqual(ledger.blameSuspects(now), []);
  }
});

// Guards against a gateway that stands still and goes on, and whose answers on
// other parts count ahead of those on a sound one.
test("a gateway that tells late blames no part that its answers clear", () => {
  const ledger = createLedger();
  const [late] = openGateways(ledger, 1);
  for (const at of [0, 300, 600]) crash(ledger, at, FIRST, HARMFUL);
  late!.watch(700);
  late!.tell(700);
  late!.answer({ count: 5, at: 1_200, parts: [FIRST] });
  late!.answer({ count: 500, at: 1_300 });
  assert.deepEqual(ledger.blameSuspects(6_000), []);
  late!.tell(6_100);
  const names: string[] = [];
  for (let now = 6_100; now <= 9_000; now += STEP_MILLISECONDS) {
    late!.watch(now);
    late!.answer({ count: 20, at: now });
    late!.answer({ count: 1, at: now, parts: [FIRST] });
    late!.tell(now);
    names.push(...ledger.blameSuspects(now).map((each) => each.fingerprint));
  }
  assert.deepEqual(names, ["part:bad"]);
});

// Guards against a harmful part that goes on crashing servers once a control host
// has started anew: its gateways have watched all the while.
test("a control host that starts anew counts what gateways have watched", () => {
  const before = createLedger();
  for (const at of [0, 300, 600]) crash(before, at, HARMFUL);
  const recorder = new GoodEndRecorder();
  const watches = before.listPartWatches({ minCrashes: 2 });
  recorder.watch(watches, 700);
  recorder.takeNews(700, ENDS_PER_TELLING);
  for (let index = 0; index < 200; index += 1) {
    recorder.record({ parts: ["harmless"], sentAt: 600, endedAt: 1_000 });
  }
  recorder.takeNews(1_000, ENDS_PER_TELLING);
  const after = createLedger();
  for (const at of [0, 300, 600]) crash(after, at, HARMFUL);
  recorder.tellAnew();
  const news = recorder.takeNews(1_100, ENDS_PER_TELLING);
  after.noteWatches(watches, 1_100);
  after.addGoodEnds("gateway", news!);
  assert.deepEqual(after.blameSuspects(1_100), []);
  const blames = after.blameSuspects(1_230);
  assert.deepEqual(blames.map(({ fingerprint }) => fingerprint), ["part:bad"]);
});

// Guards against blaming what all requests share while no server can answer, and
// against a count that begins anew each time.
test("time in which nobody can answer doesn't count, and the count is kept", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) crash(ledger, at, HARMFUL);
  const few = 30;
  answerWell(ledger, { count: few, at: 700 });
  for (let now = 800; now <= 20_000; now += STEP_MILLISECONDS) {
    answerWell(ledger, { count: 0, at: now });
    assert.deepEqual(ledger.blameSuspects(now), []);
  }
  answerWell(ledger, { count: few, at: 20_100 });
  assert.deepEqual(blame(ledger, 20_100, { answers: 0 }), ["part:bad"]);
});

// Guards against blaming a common part as most servers are gone, and the few left
// answer little.
test("few answers of the servers left blame nothing that some of them hold", () => {
  const ledger = createLedger();
  failRack(ledger);
  for (let now = 500; now <= 30_000; now += 500) {
    const isCommon = now % 2_000 === 0;
    const parts = isCommon ? [FIRST, "common"] : [FIRST];
    answerWell(ledger, { count: 1, at: now, parts });
    assert.deepEqual(ledger.blameSuspects(now), []);
  }
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
  const [first] = ledger.listPartWatches({ minCrashes: 3 });
  assert.equal(first?.part, HARMFUL);
});

// Guards against a sound part of answers that aren't streams, or are short: they
// end well all the time, and none of them is seen to run well.
test("good ends of a part speak against a blame by answers that run well", () => {
  const ledger = createLedger();
  for (const at of [0, 700, 1_400]) crash(ledger, at, "plain");
  const runs = new GoodEndRecorder();
  const names: string[] = [];
  for (let now = 1_500; now <= 15_000; now += STEP_MILLISECONDS) {
    runs.watch(ledger.listPartWatches({ minCrashes: 2 }), now);
    answerWell(ledger, { count: 0, at: now });
    // Sent ahead of the crashes: it clears none of them.
    ledger.recordGoodEnd({ part: "plain", sentAt: -100, endedAt: now });
    for (let index = 0; index < 40; index += 1) {
      runs.record({ parts: ["other"], sentAt: now - 300, endedAt: now });
    }
    const news = runs.takeNews(now, 6);
    if (news !== undefined) ledger.addRunningAnswers("gateway", news);
    names.push(
      ...ledger.blameSuspects(now).map(({ fingerprint }) => fingerprint),
    );
  }
  assert.deepEqual(names, []);
});

// Guards against a harmful part that is never found, as no other request there has
// prompt parts.
test("a harmful part is found among answers without any part", () => {
  const ledger = createLedger();
  for (const at of [0, 300, 600]) {
    const incarnation = crash(ledger, at, HARMFUL);
    ledger.recordReport({
      fingerprint: `plain-${at}`,
      incarnation: incarnation.replace("request", "server"),
      begunMilliseconds: 900,
      crashedAt: at,
    }, at + 80);
  }
  const names: string[] = [];
  for (let now = 700; now <= 3_600; now += STEP_MILLISECONDS) {
    answerWell(ledger, { count: ANSWERS_PER_STEP, at: now, parts: [] });
    names.push(
      ...ledger.blameSuspects(now).map(({ fingerprint }) => fingerprint),
    );
  }
  assert.deepEqual(names, ["part:bad"]);
});
