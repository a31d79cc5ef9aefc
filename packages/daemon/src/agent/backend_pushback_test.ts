import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { BackendPushback } from "./backend_pushback.ts";

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function createAnswer(retryAfter: string, isShuttingDown = false) {
  return {
    statusCode: 503,
    headers: isShuttingDown ? { "teaselrouter-shutdown": "1" } : {},
    rawHeaders: ["Retry-After", retryAfter],
  } as unknown as IncomingMessage;
}

// Guards against a backend server that stays out of service: entry hosts are told
// only of changes, and the last must be that it takes calls again.
test("the end of a pause is told when it is over, also if it was moved a little", async () => {
  const pushback = new BackendPushback();
  const told: boolean[] = [];
  pushback.changes$.subscribe(() =>
    told.push(pushback.closedRefusal === undefined)
  );
  pushback.recordAnswer(createAnswer("0.3"));
  await pause(150);
  pushback.recordAnswer(createAnswer("0.3"));
  await pause(800);
  assert.deepEqual(told, [false, true]);
  pushback.stop();
});

// Guards against a shutdown whose end is told at once.
test("a pause asked for during a shutdown does not end the shutdown", async () => {
  const pushback = new BackendPushback();
  const kinds: string[] = [];
  pushback.changes$.subscribe(({ kind }) => kinds.push(kind));
  pushback.recordAnswer(createAnswer("0.1", true));
  await pause(300);
  assert.equal(pushback.closedRefusal?.reason, "shutting-down");
  assert.ok(!kinds.includes("ended"));
  pushback.reset();
  assert.equal(kinds.at(-1), "ended");
  assert.equal(pushback.closedRefusal, undefined);
  pushback.stop();
});
