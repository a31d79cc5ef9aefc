import assert from "node:assert/strict";
import { test } from "node:test";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import { findPushbackFaults } from "./find_pushback_faults.ts";

const PAUSE_SECONDS = 2;

/** One server that asks one gateway for a pause, or says that it leaves. */
function play(
  { arrivals, isLeaving = false, ends = [], excuses = [] }: {
    arrivals: number[];
    /** When the server ended, to start anew under its name. */
    ends?: number[];
    isLeaving?: boolean;
    excuses?: { gateway: string; from: number; to: number }[];
  },
): string[] {
  const told = { id: "first", at: 0, instance: "one" };
  const later = arrivals.map((at, index) => ({
    id: `later-${index}`,
    at,
    instance: "one",
  }));
  const server = {
    arrivals: [told, ...later],
    rejections: isLeaving ? [] : [{ ...told, seconds: PAUSE_SECONDS }],
    leavingNotices: isLeaving ? [told] : [],
    crashRecords: ends.map((at) => ({ at, id: undefined })),
  } as unknown as FakeBackendServer;
  const sent = new Map(
    [told, ...later].map((
      { id, at },
    ) => [id, { gateway: "gateway", sentAt: at }]),
  );
  return findPushbackFaults({ servers: [server], sent, excuses });
}

// Guards against a check that misses requests in a pause that was asked for.
test("more than two requests in a pause are found", () => {
  assert.deepEqual(play({ arrivals: [600, 1_000, 1_900] }), [
    "one got 3 in a pause of 2 s asked of gateway",
  ]);
  assert.deepEqual(play({ arrivals: [600, 1_000] }), []);
  assert.deepEqual(play({ arrivals: [100, 200, 300, 2_100, 2_200] }), []);
  const excuses = [{ gateway: "gateway", from: 500, to: 700 }];
  assert.deepEqual(play({ arrivals: [600, 1_000, 1_900], excuses }), []);
  const others = [{ gateway: "other", from: 500, to: 700 }];
  assert.equal(
    play({ arrivals: [600, 1_000, 1_900], excuses: others }).length,
    1,
  );
});

// Guards against a check that misses requests at a server that leaves.
test("any request at a server that has said that it leaves is found", () => {
  assert.deepEqual(play({ arrivals: [2_100], isLeaving: true }), [
    "one got 1 after its notice to gateway",
  ]);
  assert.deepEqual(play({ arrivals: [1_900], isLeaving: true }), []);
});

// Guards against a check that blames requests of a later start, which asked for
// nothing, and one that an end before the pause switches off.
test("a pause and a notice end with the server that asked", () => {
  const arrivals = [600, 1_000, 1_900];
  const pause = "one got 3 in a pause of 2 s asked of gateway";
  assert.deepEqual(play({ arrivals, ends: [550] }), []);
  assert.deepEqual(play({ arrivals, ends: [-100, 1_950] }), [pause]);
  const notice = { arrivals: [2_100], isLeaving: true };
  assert.deepEqual(play({ ...notice, ends: [2_050] }), []);
  assert.equal(play({ ...notice, ends: [-100, 2_150] }).length, 1);
});
