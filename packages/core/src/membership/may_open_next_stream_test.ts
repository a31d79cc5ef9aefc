import assert from "node:assert/strict";
import { test } from "node:test";
import { mayOpenNext } from "./may_open_next.ts";

const PROCESSES = 100;
const STREAMS = 3;
const TAKEN_IN_MILLISECONDS = 7;

/** When each process's first stream is heard by a host that takes in one by one. */
function playOutage(mayOpen: typeof mayOpenNext): number[] {
  const streams = Array.from(
    { length: PROCESSES },
    () => [] as { openedAt: number; isHeard: boolean }[],
  );
  const firstHeardAt: number[] = [];
  const queue: { process: number; stream: number }[] = [];
  for (let now = 0; firstHeardAt.length < PROCESSES; now += 1) {
    for (const [process, opened] of streams.entries()) {
      while (opened.length < STREAMS && mayOpen(opened, now)) {
        queue.push({ process, stream: opened.length });
        opened.push({ openedAt: now, isHeard: false });
      }
    }
    if (now % TAKEN_IN_MILLISECONDS !== 0) continue;
    const next = queue.shift();
    if (next === undefined) continue;
    const opened = streams[next.process]!;
    if (!opened.some(({ isHeard }) => isHeard)) firstHeardAt.push(now);
    opened[next.stream]!.isHeard = true;
  }
  return firstHeardAt;
}

// Pattern: a hundred processes turn to one host that has just started. Guards
// against the last of them being heard behind everyone's third stream.
test("first streams come ahead of anyone's second one", () => {
  const ordered = playOutage(mayOpenNext);
  const allAtOnce = playOutage(() => true);
  const last = (heardAt: number[]) => heardAt.at(-1)!;
  assert.ok(
    last(ordered) < 0.7 * last(allAtOnce),
    `${last(ordered)} and ${last(allAtOnce)} ms`,
  );
});

// Guards against a first host that is lost keeping a process from all others.
test("a host that says nothing is not waited for", () => {
  const silent = [{ openedAt: 0, isHeard: false }];
  assert.equal(mayOpenNext(silent, 400), false);
  assert.equal(mayOpenNext(silent, 600), true);
  assert.equal(mayOpenNext([], 0), true);
});
