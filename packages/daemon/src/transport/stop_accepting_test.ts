import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import { stopAccepting } from "./stop_accepting.ts";

const MAX_MILLISECONDS = 10_000;
const CONNECTIONS = 30;

function standStill(milliseconds: number): void {
  const until = monotonicMilliseconds() + milliseconds;
  while (monotonicMilliseconds() < until);
}

/** A server that greets each client, after work of some milliseconds. */
async function openServer(workMilliseconds: number) {
  const server = createServer((socket) => {
    standStill(workMilliseconds);
    socket.end("served");
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, port: (server.address() as AddressInfo).port };
}

/** What a client reads until its connection ends. */
function readAnswer(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (bytes) => text += bytes);
    socket.once("end", () => resolve(text));
    socket.once("error", (error) => resolve(error.message));
  });
}

function openConnection(port: number): Promise<string> {
  return readAnswer(connect(port, "127.0.0.1"));
}

// Guards against calls that are reset at a planned stop of a host that is so slow
// that it takes seconds to accept those who wait.
test("a slow server accepts all that wait before it closes its port", async () => {
  const { server, port } = await openServer(60);
  const answers = Array.from(
    { length: CONNECTIONS },
    () => openConnection(port),
  );
  const stopped = await stopAccepting(server, {
    maxMilliseconds: MAX_MILLISECONDS,
  });
  assert.deepEqual(new Set(await Promise.all(answers)), new Set(["served"]));
  assert.equal(stopped.accepted, CONNECTIONS);
  assert.ok(stopped.empty);
});

// Guards against calls that are reset at a planned stop, as they were opened while
// the turn of the event loop that found nobody waiting went on.
test("a connection that is opened during a long turn is accepted", async () => {
  for (let turn = 0; turn < 5; turn += 1) {
    const { server, port } = await openServer(0);
    let answer: Promise<string> | undefined;
    const waitFor = (turns: number) => {
      if (turns > 0) return void setImmediate(waitFor, turns - 1);
      answer = openConnection(port);
      standStill(50);
    };
    setImmediate(waitFor, turn);
    await stopAccepting(server, { maxMilliseconds: MAX_MILLISECONDS });
    assert.match((await answer) ?? "closed before", /^served$|^closed before$/);
  }
});

// Guards against a stop that never ends, as clients go on opening connections.
test("a port that is never empty is closed in the end", async () => {
  const { server, port } = await openServer(5);
  let isOpen = true;
  const openNext = () => {
    if (!isOpen) return;
    void openConnection(port);
    setImmediate(openNext);
  };
  openNext();
  const { empty, milliseconds } = await stopAccepting(server, {
    maxMilliseconds: 500,
  });
  isOpen = false;
  assert.ok(!empty);
  assert.ok(milliseconds >= 500 && milliseconds < 5_000, `${milliseconds} ms`);
});
