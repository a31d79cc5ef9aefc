import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import { waitUntilQuiet } from "./wait_until_quiet.ts";

async function measureWait(lastRequestAt: () => number): Promise<number> {
  const startedAt = monotonicMilliseconds();
  await waitUntilQuiet({ lastRequestAt, maxMilliseconds: 1_500 });
  return monotonicMilliseconds() - startedAt;
}

// Guards against a stop that closes connections which were accepted a moment ago:
// a server without requests until then is not quiet yet.
test("a server that received nothing lately still waits for what may arrive", async () => {
  assert.ok(await measureWait(() => -Infinity) >= 500);
});

// Guards against a stop that closes a connection between two of its requests.
test("a request puts off the end of the wait", async () => {
  const requestAt = monotonicMilliseconds() + 300;
  const lastRequestAt = () =>
    monotonicMilliseconds() >= requestAt ? requestAt : -Infinity;
  assert.ok(await measureWait(lastRequestAt) >= 800);
});

// Guards against a stop that never ends, as a client never pauses.
test("a client that never pauses does not put it off for good", async () => {
  const waited = await measureWait(monotonicMilliseconds);
  assert.ok(waited >= 1_500 && waited < 5_000, `${waited} ms`);
});
