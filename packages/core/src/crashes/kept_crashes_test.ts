import assert from "node:assert/strict";
import { test } from "node:test";
import { createEmptyControlState } from "../state/create_empty_control_state.ts";
import { decodeControlState } from "../state/decode_control_state.ts";
import { encodeControlState } from "../state/encode_control_state.ts";
import { commandSchema } from "../state/command_schema.ts";
import { applyCrash } from "./apply_crash.ts";
import { CrashLedger } from "./crash_ledger.ts";
import { GoodEndRecorder } from "./good_end_recorder.ts";

const HARMFUL = "bad";
const FIRST = "first";
const TIME_OF_DAY = 1_700_000_000_000;

function createLedger(): CrashLedger {
  return new CrashLedger({ decisionDelayMilliseconds: 120 });
}

/** A crash under a new request with the harmful part, beside others. */
function crash(ledger: CrashLedger, at: number, beside = 0): void {
  const incarnation = `server-${at}`;
  const report = (name: string, part: string, begunMilliseconds: number) =>
    ledger.recordReport({
      fingerprint: `${name}-${at}`,
      parts: [FIRST, part],
      incarnation,
      begunMilliseconds,
      crashedAt: at,
    }, at + 60);
  report("harmful", HARMFUL, 40);
  for (let index = 0; index < beside; index += 1) {
    report(`beside-${index}`, `rare-${at}-${index}`, 100 + 10 * index);
  }
}

/**
 * What is blamed from then on for three seconds, while answers without any of the
 * parts end well at one gateway.
 */
function blame(
  ledger: CrashLedger,
  from: number,
  { answers, recorder }: { answers: number; recorder: GoodEndRecorder },
): string[] {
  const names: string[] = [];
  for (let now = from; now <= from + 3_000; now += 100) {
    const watches = ledger.listPartWatches({ minCrashes: 2 });
    ledger.noteWatches(watches, now);
    recorder.watch(watches, now);
    for (let index = 0; index < answers; index += 1) {
      recorder.record({ parts: ["other"], sentAt: now - 400, endedAt: now });
    }
    const news = recorder.takeNews(now, 64);
    if (news !== undefined) ledger.addGoodEnds("gateway", news);
    const blames = ledger.blameSuspects(now);
    names.push(...blames.map(({ fingerprint }) => fingerprint));
  }
  return names;
}

/** What the log keeps of a ledger's crashes, through an encoded snapshot. */
function keep(ledger: CrashLedger, now: number) {
  const state = createEmptyControlState();
  const clocks = { timeOfDay: TIME_OF_DAY + now, monotonic: now };
  for (const row of ledger.listUnkept(state.crashes, clocks)) {
    const command = commandSchema.parse({ kind: "record-crash", crash: row });
    assert.equal(command.kind, "record-crash");
    if (command.kind === "record-crash") applyCrash(state, command);
  }
  const bytes = encodeControlState(state, { withClaims: true });
  return decodeControlState(bytes);
}

// Guards against evidence on a part that is gone with a loss of power: three
// crashes more would be needed behind each.
test("crashes before a loss of power count with the first one after it", () => {
  const before = createLedger();
  for (const at of [0, 1_000]) crash(before, at, 3);
  const kept = keep(before, 1_500);
  assert.equal(kept.crashes.size, 2);
  const after = createLedger();
  for (const row of kept.crashes.values()) {
    const monotonic = 50;
    after.restoreCrash(row, { timeOfDay: TIME_OF_DAY + 3_050, monotonic });
  }
  const recorder = new GoodEndRecorder();
  assert.deepEqual(blame(after, 100, { answers: 0, recorder }), []);
  crash(after, 4_000);
  after.recordGoodEnd({ part: FIRST, sentAt: 4_010, endedAt: 4_410 });
  const blames = blame(after, 4_420, { answers: 50, recorder });
  assert.deepEqual(blames, ["part:bad"]);
});

// Guards against blaming what all share, as no answers were watched between a
// loss of power and the next crash.
test("what is restored blames nothing before answers came to good ends", () => {
  const before = createLedger();
  for (const at of [0, 1_000, 2_000]) crash(before, at);
  const after = createLedger();
  for (const row of keep(before, 2_500).crashes.values()) {
    after.restoreCrash(row, { timeOfDay: TIME_OF_DAY + 4_000, monotonic: 10 });
  }
  const recorder = new GoodEndRecorder();
  assert.deepEqual(after.blameSuspects(9_000), []);
  const terms = { answers: 0, recorder };
  for (let index = 0; index < 5_000; index += 1) {
    recorder.record({ parts: ["other"], sentAt: -5_400, endedAt: -5_000 });
  }
  assert.deepEqual(blame(after, 6_000, terms), []);
  crash(after, 10_000);
  assert.deepEqual(blame(after, 10_100, terms), []);
});

// Guards against tables that grow, and against a flood that pushes out what is
// known of the requests that had begun last.
test("what is kept of crashes is bounded, by row and in all", () => {
  const ledger = createLedger();
  for (let index = 0; index < 300; index += 1) {
    crash(ledger, 100 * index, 40);
  }
  const kept = keep(ledger, 30_200);
  assert.equal(kept.crashes.size, 128);
  for (const { requests } of kept.crashes.values()) {
    assert.equal(requests.length, 6);
    assert.ok(requests[0]!.parts.includes(HARMFUL));
  }
  const bytes = encodeControlState(kept, { withClaims: true }).length;
  assert.ok(bytes < 128 * 1_024, `${bytes} bytes`);
});

// Guards against a commit for each report: what is kept isn't proposed again,
// and a later report is.
test("only what is not kept of a crash is listed", () => {
  const ledger = createLedger();
  crash(ledger, 0);
  const { crashes } = keep(ledger, 500);
  const clocks = { timeOfDay: TIME_OF_DAY + 500, monotonic: 500 };
  assert.deepEqual(ledger.listUnkept(crashes, clocks), []);
  ledger.recordReport({
    fingerprint: "later",
    incarnation: "server-0",
    begunMilliseconds: 20,
    crashedAt: 0,
  }, 500);
  const [row] = ledger.listUnkept(crashes, clocks);
  assert.deepEqual(
    row?.requests.map(({ fingerprint }) => fingerprint),
    ["later", "harmful-0"],
  );
});
