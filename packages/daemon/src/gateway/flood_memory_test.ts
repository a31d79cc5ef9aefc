import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { sleep } from "../transport/sleep.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

/** As many calls at once as some engines run. */
const CALLS = 64;
const PLAY_MILLISECONDS = 1_500;
const SAMPLE_MILLISECONDS = 20;
const MEGABYTE = 1_048_576;
/** What a host of the design has for all of its work. */
const MAX_GROWTH_BYTES = 128 * MEGABYTE;
/** Calls that are flooded at least; others may find the server's limits. */
const MIN_FLOODS = CALLS / 2;
/** An answer that ends behind the floods. */
const SOUND_PATH = "/safe/sound";

const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const CHUNK = `10000\r\n${"x".repeat(65_536)}\r\n`;

type Case = {
  name: string;
  path?: string;
  head: string;
  part: string;
  /** Whether clients read nothing. */
  isUnread?: boolean;
};

const CASES: Case[] = [
  {
    name: "heads",
    head: "HTTP/1.1 200 OK\r\n",
    part: `Filler: ${"x".repeat(1_000)}\r\n`,
  },
  {
    name: "failures",
    head: `HTTP/1.1 500 No\r\n${CHUNKED}`,
    part: CHUNK,
  },
  {
    name: "plain bodies that nobody reads",
    head: `HTTP/1.1 200 OK\r\n${CHUNKED}`,
    part: CHUNK,
    isUnread: true,
  },
  {
    name: "events",
    path: "/stream/",
    head: `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${CHUNKED}`,
    part: CHUNK,
  },
  {
    name: "small events that nobody reads",
    path: "/stream/",
    head: `HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${CHUNKED}`,
    part: `c\r\ndata: 12345\n\r\n1\r\n\n\r\n`.repeat(200),
    isUnread: true,
  },
  {
    name: "bytes behind a whole answer",
    head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    part: "x".repeat(65_536),
  },
];

function flood(socket: Socket, { head, part }: Case): void {
  const send = () => {
    if (socket.destroyed) return;
    if (socket.write(part)) setImmediate(send);
    else socket.once("drain", send);
  };
  socket.write(head);
  send();
}

function usedBytes(): number {
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

function ask(port: number, path: string, id: string): Socket {
  const socket = connect({ port, host: "127.0.0.1" });
  socket.on("error", () => undefined);
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: x\r\nId: ${id}\r\n` +
      `Content-Length: 0\r\n\r\n`,
  );
  return socket;
}

/** Plays servers that flood the gateway beside one that answers slowly. */
async function play(each: Case) {
  const { path = "/safe/", isUnread = false } = each;
  let floods = 0;
  const gateway = await GatewayFixture.open({
    backend: (socket) =>
      socket.once("data", (bytes) => {
        if (bytes.toString("latin1").includes(SOUND_PATH)) {
          socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no");
          setTimeout(() => socket.write("k"), PLAY_MILLISECONDS);
        } else {
          floods += 1;
          flood(socket, each);
        }
      }),
    route: { timeoutMilliseconds: 8_000, resumable: path === "/stream/" },
  });
  const sound = new RawClient(
    gateway.port,
    `GET ${SOUND_PATH} HTTP/1.1\r\nHost: x\r\nId: s1\r\n\r\n`,
  );
  await sound.receive(/^HTTP\/1\.1 200 /);
  const before = usedBytes();
  let most = before;
  const sockets = Array.from({ length: CALLS }, (_, index) => {
    const socket = ask(gateway.port, path, `a${index}`);
    if (!isUnread) socket.resume();
    return socket;
  });
  try {
    for (let waited = 0; waited < PLAY_MILLISECONDS;) {
      await sleep(SAMPLE_MILLISECONDS);
      waited += SAMPLE_MILLISECONDS;
      most = Math.max(most, usedBytes());
    }
    await sound.receive(/\r\n\r\nok$/);
    return { growth: most - before, floods };
  } finally {
    sound.socket.destroy();
    for (const socket of sockets) socket.destroy();
    gateway.close();
  }
}

// Each guards against servers whose bytes have no end and that, many at once, take
// a gateway's memory, and with it the requests of others.
for (const each of CASES) {
  test(`${each.name} without end, many at once, stay within bounds`, async () => {
    const { growth, floods } = await play(each);
    console.log(
      `${each.name}: ${floods} floods, ${Math.round(growth / MEGABYTE)} MB`,
    );
    assert.ok(floods >= MIN_FLOODS, `only ${floods} floods`);
    assert.ok(growth <= MAX_GROWTH_BYTES, `${growth} bytes`);
  });
}
