import assert from "node:assert/strict";
import { test } from "node:test";
import { mayOpenNextStream } from "./may_open_next_stream.ts";

const PROCESSES = 100;
const STREAMS = 3;
const ACCEPT_MILLISECONDS = 7;

/**
 * Simulates processes that connect to a host which accepts one stream at a
 * time. Returns when each process's first stream is accepted, in order.
 */
function simulateOutage(mayOpen: typeof mayOpenNextStream): number[] {
  const streams = Array.from(
    { length: PROCESSES },
    () => [] as { openedAt: number; hasReceived: boolean }[],
  );
  const firstHeardAt: number[] = [];
  const queue: { process: number; stream: number }[] = [];
  for (let now = 0; firstHeardAt.length < PROCESSES; now += 1) {
    for (const [process, opened] of streams.entries()) {
      while (opened.length < STREAMS && mayOpen(opened, now)) {
        queue.push({ process, stream: opened.length });
        opened.push({ openedAt: now, hasReceived: false });
      }
    }
    if (now % ACCEPT_MILLISECONDS !== 0) continue;
    const next = queue.shift();
    if (next === undefined) continue;
    const opened = streams[next.process]!;
    if (!opened.some(({ hasReceived }) => hasReceived)) firstHeardAt.push(now);
    opened[next.stream]!.hasReceived = true;
  }
  return firstHeardAt;
}

// A hundred processes connect to one host that has just started. Guards against
// the last of them being accepted only after the third streams of the others.
test("the first streams of all processes precede any second one", () => {
  const ordered = simulateOutage(mayOpenNextStream);
  const allAtOnce = simulateOutage(() => true);
  const last = (heardAt: number[]) => heardAt.at(-1)!;
  assert.ok(
    last(ordered) < 0.7 * last(allAtOnce),
    `${last(ordered)} and ${last(allAtOnce)} ms`,
  );
});

// Guards against a lost first host that keeps a process from all other hosts.
test("a silent host delays the next stream only briefly", () => {
  const silent = [{ openedAt: 0, hasReceived: false }];
  assert.equal(mayOpenNextStream(silent, 400), false);
  assert.equal(mayOpenNextStream(silent, 600), true);
  assert.equal(mayOpenNextStream([], 0), true);
});
