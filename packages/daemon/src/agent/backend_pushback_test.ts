import assert from "node:assert/strict";
import { test } from "node:test";
import { BackendPushback } from "./backend_pushback.ts";

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function createAnswer(retryAfter: string, shutdown: string[] = []) {
  return {
    status: 503,
    rawHeaders: [
      "Retry-After",
      retryAfter,
      ...shutdown.flatMap((value) => ["Teaselrouter-Shutdown", value]),
    ],
  };
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
  await sleep(150);
  pushback.recordAnswer(createAnswer("0.3"));
  await sleep(800);
  assert.deepEqual(told, [false, true]);
  pushback.stop();
});

// Guards against a shutdown whose end is told at once.
test("a pause asked for during a shutdown does not end the shutdown", async () => {
  const pushback = new BackendPushback();
  const kinds: string[] = [];
  pushback.changes$.subscribe(({ kind }) => kinds.push(kind));
  pushback.recordAnswer(createAnswer("0.1", ["1"]));
  await sleep(300);
  assert.equal(pushback.closedRefusal?.reason, "shutting-down");
  assert.ok(!kinds.includes("ended"));
  pushback.reset();
  assert.equal(kinds.at(-1), "ended");
  assert.equal(pushback.closedRefusal, undefined);
  pushback.stop();
});

// Guards against a faulty backend server that takes itself out of service, or
// fills the log: any value but 1 is ignored, and told once.
test("only 1 announces a shutdown, once or repeated", () => {
  const read = (...shutdown: string[]) => {
    const pushback = new BackendPushback();
    let unreadable = 0;
    pushback.changes$.subscribe(({ kind }) => {
      if (kind === "unreadable") unreadable += 1;
    });
    for (let count = 0; count < 3; count += 1) {
      pushback.recordAnswer(createAnswer("0", shutdown));
    }
    const { isShuttingDown } = pushback;
    pushback.stop();
    return { isShuttingDown, unreadable };
  };
  assert.deepEqual(read("1"), { isShuttingDown: true, unreadable: 0 });
  assert.deepEqual(read("1", "1"), { isShuttingDown: true, unreadable: 0 });
  for (const text of ["", "0", "true"]) {
    assert.deepEqual(read(text), { isShuttingDown: false, unreadable: 1 });
  }
});
