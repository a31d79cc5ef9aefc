import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

/** More requests than the gateway sends to one backend server at a time. */
const CONNECTIONS = 64;
const DEADLINE_MILLISECONDS = 3_000;
const BUSY_MILLISECONDS = 1_200;
const TOLERANCE_MILLISECONDS = 500;
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against a backend server that works for clients that have left, since a
// request that waited for a connection says how much time it once had.
test("a request that waited for a connection says what time is left then", async () => {
  const told: { left: number; at: number }[] = [];
  const held: Socket[] = [];
  const gateway = await GatewayFixture.open({
    format: {
      buildForwardHeaders: (raw, { deadlineMilliseconds }) => [
        ...raw.filter((_, index) =>
          raw[index - index % 2]!.toLowerCase() !== "content-length"
        ),
        "Left",
        String(deadlineMilliseconds),
      ],
    },
    backend: (socket) =>
      socket.on("data", (bytes) => {
        const left = Number(/Left: (\d+)/.exec(String(bytes))?.[1]);
        told.push({ left, at: monotonicMilliseconds() });
        if (held.length < CONNECTIONS) held.push(socket);
        else socket.write(ANSWER);
      }),
  });
  try {
    const ask = () =>
      new RawClient(
        gateway.port,
        `POST /unsafe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n` +
          `Deadline: ${DEADLINE_MILLISECONDS}\r\nContent-Length: 4\r\n\r\nbody`,
      );
    const clients = Array.from({ length: CONNECTIONS }, ask);
    while (held.length < CONNECTIONS) await sleep(10);
    const sentAt = monotonicMilliseconds();
    const waiting = ask();
    await sleep(BUSY_MILLISECONDS);
    for (const socket of held) socket.write(ANSWER);
    await waiting.receive(/^HTTP\/1\.1 200 .*ok$/s);
    const last = told.at(-1)!;
    const left = sentAt + DEADLINE_MILLISECONDS - last.at;
    assert.ok(
      last.left <= left + TOLERANCE_MILLISECONDS,
      `told ${last.left} ms, ${Math.round(left)} are left`,
    );
    for (const client of [...clients, waiting]) client.socket.destroy();
  } finally {
    gateway.close();
  }
});

// Guards against a head that was built before a process stood still, and says
// how much time there was before.
test("a request whose head is too old when it could leave isn't sent", async () => {
  const gateway = await GatewayFixture.open({
    format: {
      buildForwardHeaders: (raw) => {
        const until = monotonicMilliseconds() + TOLERANCE_MILLISECONDS;
        while (monotonicMilliseconds() < until);
        return raw;
      },
    },
    backend: (socket) => socket.on("data", () => socket.write(ANSWER)),
  });
  try {
    const client = new RawClient(
      gateway.port,
      "GET /safe/ HTTP/1.1\r\nHost: x\r\nId: a1\r\n\r\n",
    );
    await client.receive(/^HTTP\/1\.1 503 /);
    assert.equal(gateway.backendArrivals, 0);
    const [ended] = gateway.fieldsOf("request-ended");
    assert.equal(ended!.outcome, "not-run");
    assert.match(String(ended!.sends), /^one@\d+\/unsent$/);
    client.socket.destroy();
  } finally {
    gateway.close();
  }
});
