import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const SLOW_CLIENTS = 300;
/** As many, with requests that they don't read. */
const SLOW_SERVERS = 50;
const BACKENDS = 60;
const BODY_BYTES = 1_000_000;
const MAX_HELD_BYTES = 20_000_000;
/** Of one stream: more than sockets buffer on the way. */
const LARGE_STREAM_EVENTS = 1_000;
const LARGE_STREAMS = 16;
const SMALL_STREAM_EVENTS = 20;
/** 300 streams may then take a third of a host of 250 MB. */
const MAX_HELD_PER_STREAM = 262_144;
const SETTLE_MILLISECONDS = 500;
const MAX_SETTLES = 20;

const EVENT = `data: ${"x".repeat(16_000)}\n\n`;
const CHUNK = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`;
const STREAM_HEAD = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";
const OTHER_REQUEST = "GET /safe/a HTTP/1.1\r\nHost: x\r\nId: o\r\n\r\n";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Bytes of buffers that this process holds: the gateway and both its ends. */
function measureHeldBytes(): number {
  collectGarbage();
  return process.memoryUsage().arrayBuffers;
}

/** Writes that many events, no faster than they are read. */
function writeEvents(socket: Socket, count: number): void {
  if (socket.destroyed || count === 0) return;
  const next = () => setImmediate(writeEvents, socket, count - 1);
  if (socket.write(CHUNK)) next();
  else socket.once("drain", next);
}

/** Streams to /stream/, never reads a body, and answers all else. */
function serve(socket: Socket, events: number): void {
  socket.on("data", (bytes: Buffer) => {
    if (bytes.includes("/stream/")) {
      socket.write(STREAM_HEAD);
      writeEvents(socket, events);
    } else if (bytes.includes("/unsafe/")) {
      socket.pause();
    } else {
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
  });
}

/** Asks for a stream and reads nothing of it. */
function openUnread(port: number, id: string): Socket {
  const client = connect({ port, host: "127.0.0.1" });
  client.on("error", () => undefined);
  client.pause();
  client.write(
    `GET /stream/a HTTP/1.1\r\nHost: x\r\nId: ${id}\r\nDeadline: 60000\r\n\r\n`,
  );
  return client;
}

async function openGateway(events: number): Promise<GatewayFixture> {
  return await GatewayFixture.open({
    backend: (socket) => serve(socket, events),
    backends: BACKENDS,
    route: { timeoutMilliseconds: 60_000 },
    maximumHeldBytes: MAX_HELD_BYTES,
  });
}

// Guards against a host whose memory fills with what its clients don't read.
test("what is held for a client that doesn't read is bounded", async () => {
  const gateway = await openGateway(LARGE_STREAM_EVENTS);
  const before = measureHeldBytes();
  const clients = Array.from(
    { length: LARGE_STREAMS },
    (_, index) => openUnread(gateway.port, `c${index}`),
  );
  let held = Infinity;
  for (let settles = 0; settles < MAX_SETTLES; settles += 1) {
    await sleep(SETTLE_MILLISECONDS);
    const latest = (measureHeldBytes() - before) / LARGE_STREAMS;
    if (gateway.server.inFlight === LARGE_STREAMS && latest === held) break;
    held = latest;
  }
  assert.equal(gateway.server.inFlight, LARGE_STREAMS);
  assert.ok(held > 0, "the streams were read to their end");
  assert.ok(held <= MAX_HELD_PER_STREAM, `${held} bytes a stream`);
  for (const client of clients) client.destroy();
  gateway.close();
});

// Guards against a host whose memory fills with bodies that its servers don't
// read: what is beyond the bound is refused, and all else goes on.
test("slow clients and slow servers take a bounded part, and others nothing", async () => {
  const gateway = await openGateway(SMALL_STREAM_EVENTS);
  const clients = Array.from(
    { length: SLOW_CLIENTS },
    (_, index) => openUnread(gateway.port, `c${index}`),
  );
  const body = "b".repeat(BODY_BYTES);
  const senders = Array.from(
    { length: SLOW_SERVERS },
    (_, index) =>
      new RawClient(
        gateway.port,
        `POST /unsafe/a HTTP/1.1\r\nHost: x\r\nId: u${index}\r\n` +
          `Deadline: 60000\r\nContent-Length: ${BODY_BYTES}\r\n\r\n${body}`,
      ),
  );
  const isRefused = (sender: RawClient) =>
    /^HTTP\/1.1 503 /.test(sender.received);
  const expected = SLOW_SERVERS - MAX_HELD_BYTES / BODY_BYTES;
  for (let settles = 0; settles < MAX_SETTLES; settles += 1) {
    await sleep(SETTLE_MILLISECONDS);
    if (senders.filter(isRefused).length >= expected) break;
  }
  const refused = senders.filter(isRefused);
  assert.ok(refused.length >= expected, `${refused.length} refused`);
  assert.ok(refused.length < SLOW_SERVERS, "all refused");
  for (const { received } of refused) assert.match(received, /retry-after: /i);
  assert.ok(gateway.context.intake.room.bytes <= MAX_HELD_BYTES);
  const other = new RawClient(gateway.port, OTHER_REQUEST);
  await other.receive(/ok$/);
  for (const { socket } of senders) socket.destroy();
  for (const client of clients) client.destroy();
  for (let settles = 0; settles < MAX_SETTLES; settles += 1) {
    if (gateway.context.intake.room.bytes === 0) break;
    await sleep(SETTLE_MILLISECONDS);
  }
  assert.equal(gateway.context.intake.room.bytes, 0);
  gateway.close();
});
