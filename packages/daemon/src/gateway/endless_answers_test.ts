import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { sleep } from "../transport/sleep.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const CHUNK = `1000\r\n${"x".repeat(4_096)}\r\n`;
/** Within this time a connection with bytes without end is closed. */
const CLOSE_MILLISECONDS = 2_000;
/** Far below what the fake sends in that time. */
const MAX_BYTES = 32 * 1_048_576;

type Flood = { bytes: number; closedAt: number | undefined };

/** Sends `head`, then `part` again and again until the connection is closed. */
function flood(
  socket: Socket,
  { head, part }: { head: string; part: string },
): Flood {
  const state: Flood = { bytes: 0, closedAt: undefined };
  socket.once("close", () => state.closedAt = monotonicMilliseconds());
  const send = () => {
    if (state.closedAt !== undefined) return;
    state.bytes += part.length;
    if (socket.write(part)) setImmediate(send);
    else socket.once("drain", send);
  };
  socket.write(head);
  send();
  return state;
}

type Case = {
  name: string;
  path?: string;
  head: string;
  part: string;
  /** What the client gets when another server is there, and when none is. */
  helped: RegExp;
  alone: RegExp;
  /** Whether all of it is for the client, until its time is over. */
  isForwarded?: boolean;
  route?: { resumable?: boolean; timeoutMilliseconds?: number };
};

const CASES: Case[] = [
  {
    name: "a refusal",
    head: `HTTP/1.1 503 No\r\nNot-Run: 1\r\n${CHUNKED}`,
    part: CHUNK,
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 503 /,
  },
  {
    name: "a failure that is left for another answer",
    head: `HTTP/1.1 500 No\r\n${CHUNKED}`,
    part: CHUNK,
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 500 /,
    isForwarded: true,
    route: { timeoutMilliseconds: 1_000 },
  },
  {
    name: "interim answers",
    head: "",
    part: "HTTP/1.1 102 Processing\r\n\r\n",
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 502 /,
  },
  {
    name: "a head",
    head: "HTTP/1.1 200 OK\r\n",
    part: `Filler: ${"x".repeat(1_000)}\r\n`,
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 502 /,
  },
  {
    name: "a line of a head",
    head: "HTTP/1.1 200 OK\r\nFiller: ",
    part: "x".repeat(1_000),
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 502 /,
  },
  {
    name: "bytes that are no answer",
    head: "",
    part: "\u0000nonsense".repeat(100),
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 502 /,
  },
  {
    name: "a plain body",
    head: `HTTP/1.1 200 OK\r\n${CHUNKED}`,
    part: CHUNK,
    helped: /^HTTP\/1\.1 200 /,
    alone: /^HTTP\/1\.1 200 /,
    isForwarded: true,
    route: { timeoutMilliseconds: 1_000 },
  },
  {
    name: "a chunk's extension",
    head: `HTTP/1.1 200 OK\r\n${CHUNKED}1;`,
    part: "x".repeat(1_000),
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 502 /,
  },
  {
    name: "trailers",
    head: `HTTP/1.1 200 OK\r\n${CHUNKED}2\r\nok\r\n0\r\n`,
    part: `Filler: ${"x".repeat(1_000)}\r\n`,
    helped: /^HTTP\/1\.1 200 .*ok$/s,
    alone: /^HTTP\/1\.1 502 /,
  },
  {
    name: "an event",
    path: "/stream/",
    head: `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${CHUNKED}`,
    part: CHUNK,
    helped: /^HTTP\/1\.1 200 .*data: ok/s,
    alone: /^HTTP\/1\.1 200 /,
    route: { resumable: true },
  },
];

/** Has one server flood the gateway and, if `isHelped`, another answer. */
async function play(each: Case, isHelped: boolean): Promise<void> {
  const { path = "/safe/", route = {} } = each;
  const floods: Flood[] = [];
  const isEvent = path === "/stream/";
  const gateway = await GatewayFixture.open({
    backends: isHelped ? 2 : 1,
    backend: (socket) =>
      socket.once("data", () => {
        if (floods.length === 0) floods.push(flood(socket, each));
        else if (isEvent) {
          socket.end(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
              "Content-Length: 16\r\n\r\nid: 1\ndata: ok\n\n",
          );
        } else socket.write(ANSWER);
      }),
    route: { timeoutMilliseconds: 8_000, ...route },
  });
  try {
    const sentAt = monotonicMilliseconds();
    const method = isEvent ? "POST" : "GET";
    const ask = () =>
      new RawClient(
        gateway.port,
        `${method} ${path} HTTP/1.1\r\nHost: x\r\nId: a1\r\n` +
          `Content-Length: 0\r\n\r\n`,
      );
    let client = ask();
    // On a busy machine no connection may be made in time.
    while (floods.length === 0) {
      await sleep(10);
      const [ended] = gateway.fieldsOf("request-ended");
      if (floods.length > 0 || ended?.outcome !== "not-run") continue;
      client.socket.destroy();
      gateway.events.length = 0;
      client = ask();
    }
    await client.receive(isHelped ? each.helped : each.alone);
    while (floods[0]!.closedAt === undefined) {
      assert.ok(
        monotonicMilliseconds() - sentAt < CLOSE_MILLISECONDS,
        "the connection stays open",
      );
      await sleep(10);
    }
    const { bytes } = floods[0]!;
    assert.ok(each.isForwarded || bytes < MAX_BYTES, `${bytes} bytes`);
    assert.deepEqual(gateway.fieldsOf("backend-server-ended"), []);
    client.socket.destroy();
  } finally {
    gateway.close();
  }
}

// Each guards against a backend server whose bytes have no end and that holds a
// gateway's memory, its processor or its clients.
for (const each of CASES) {
  test(`${each.name} without end is closed, and another server answers`, () =>
    play(each, true));
  test(`${each.name} without end is closed, and its client gets an end`, () =>
    play(each, false));
}
