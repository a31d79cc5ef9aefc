import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
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

// Guards against a stop that closes a connection with a request in it which came
// while the process stood still: that time is none without requests.
test("what arrived while the process stood still is read before the wait is over", async () => {
  let lastRequestAt = -Infinity;
  const server = createServer((socket) => {
    socket.on("data", () => lastRequestAt = monotonicMilliseconds());
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
  await once(client, "connect");
  setTimeout(() => {
    client.write("a request");
    const until = monotonicMilliseconds() + 1_000;
    while (monotonicMilliseconds() < until);
  }, 100);
  const startedAt = monotonicMilliseconds();
  await measureWait(() => lastRequestAt);
  const hasBeenRead = lastRequestAt > startedAt;
  client.destroy();
  server.close();
  assert.ok(hasBeenRead);
});
