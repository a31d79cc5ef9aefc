import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { EventLog } from "../../log/event_log.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import { CallCrashDetector } from "./call_crash_detector.ts";
import type { CheckedCall } from "./checked_call.ts";

const CALL = {
  service: "portal",
  path: "/look",
  workspace: "desk",
  body: Buffer.from("crash"),
} as CheckedCall;

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** A detector whose log commits nothing before its third proposal. */
function openDetector(crashed = ["a", "b", "c"]) {
  const state = createEmptyControlState();
  const proposed: Command["kind"][] = [];
  const committed: Command["kind"][] = [];
  const detector = new CallCrashDetector({
    control: {
      state,
      propose: ({ kind }) => {
        proposed.push(kind);
        if (proposed.length < 3) {
          return Promise.resolve({ kind: "not-proposed" });
        }
        committed.push(kind);
        return Promise.resolve({
          kind: "committed",
          index: proposed.length,
          result: { accepted: true },
          inForce: true,
          hostsWithoutLease: [],
        });
      },
    },
    log: new EventLog("entry", "error", undefined, {
      write: () => undefined,
      flush: () => Promise.resolve(),
    }),
  });
  for (const incarnation of crashed) {
    detector.recordCrash(CALL, incarnation, monotonicMilliseconds());
  }
  return { detector, proposed, committed };
}

// Guards against a blame that other entry hosts, and this one after a restart,
// never hear of, as no leader was known when it was decided.
test("a blame is proposed until the log has it", async () => {
  const { detector, proposed, committed } = openDetector();
  await sleep(3_000);
  assert.deepEqual(committed, ["blame-request"]);
  assert.equal(proposed.length, 3, "not again once it is committed");
  detector.stop();
});

// Guards against a blame that reaches the log after its call has run to its end.
test("a call that completes takes back the blame that is being proposed", async () => {
  const { detector, committed } = openDetector();
  await sleep(400);
  detector.recordCompletion(CALL);
  await sleep(2_000);
  assert.equal(committed.at(-1), "lift-blame");
  detector.stop();
});

// Guards against ends that are proved only after their calls were answered as
// failed, or before this host has heard of that.
test("a call is blamed for ends that are proved late, or early", async () => {
  const { detector, committed } = openDetector([]);
  const breakOff = (requestId: string) =>
    detector.recordBreak(requestId, CALL, monotonicMilliseconds() - 20);
  breakOff("one");
  breakOff("two");
  detector.recordLateEnd("a", ["one", "another host's"]);
  detector.recordLateEnd("b", ["two"]);
  assert.equal(detector.mayRetry(CALL), false);
  detector.recordLateEnd("c", ["three"]);
  breakOff("three");
  await sleep(3_000);
  assert.deepEqual(committed, ["blame-request"]);
  detector.stop();
});

test("a break that is never proved to be an end blames nothing", async () => {
  const { detector, proposed } = openDetector([]);
  for (const requestId of ["one", "two", "three"]) {
    detector.recordBreak(requestId, CALL, monotonicMilliseconds());
  }
  await sleep(400);
  assert.deepEqual(proposed, []);
  assert.equal(detector.mayRetry(CALL), true);
  detector.stop();
});
