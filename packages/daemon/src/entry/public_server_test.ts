import { createTestIntake } from "../http/intake_fixture.ts";
import assert from "node:assert/strict";
import { once } from "node:events";
import { Buffer } from "node:buffer";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { nextTurn } from "../transport/next_turn.ts";
import { PublicServer } from "./public_server.ts";

/** Far more than the buffers of a connection hold. */
const LARGE_ANSWER_BYTES = 33_554_432;
const REQUEST = "POST /v1/services/a/b HTTP/1.1\r\nHost: x\r\n" +
  "Content-Length: 0\r\n\r\n";

function findFreePort(): Promise<number> {
  const server = createServer();
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });
}

function openConnection(port: number): Promise<Socket | undefined> {
  return new Promise((resolve) => {
    const socket = connect({ port, host: "127.0.0.1" });
    socket.once("connect", () => resolve(socket));
    socket.once("error", () => resolve(undefined));
  });
}

function sendRequest(socket: Socket, request = REQUEST): Promise<string> {
  return new Promise((resolve) => {
    socket.once("data", (bytes) => resolve(String(bytes)));
    socket.once("close", () => resolve("closed"));
    socket.once("error", () => resolve("broken"));
    socket.write(request);
  });
}

function createPublicServer(
  isReady: () => boolean,
  answer: string | Buffer = "whole",
): PublicServer {
  return new PublicServer({
    intake: createTestIntake(),
    idleMilliseconds: 5_000,
    isReady,
    handleCall: (_request, response) => {
      response.end(answer);
      return Promise.resolve();
    },
    handleOperator: () => Promise.resolve(),
    onError: () => undefined,
  });
}

test("during a shutdown /ready answers 503 while calls are still accepted", async () => {
  let ready = true;
  const server = createPublicServer(() => ready);
  const port = await findFreePort();
  assert.ok((await server.listen(`127.0.0.1:${port}`)).isOk);
  const sendOnNewConnection = async (request: string) => {
    const socket = await openConnection(port);
    assert.ok(socket !== undefined);
    return sendRequest(socket, request);
  };
  const readyRequest = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  const liveRequest = "GET /live HTTP/1.1\r\nHost: x\r\n\r\n";
  assert.match(await sendOnNewConnection(readyRequest), /^HTTP\/1\.1 200/);
  ready = false;
  assert.match(await sendOnNewConnection(readyRequest), /^HTTP\/1\.1 503/);
  assert.match(await sendOnNewConnection(liveRequest), /^HTTP\/1\.1 200/);
  assert.match(await sendOnNewConnection(REQUEST), /200 OK.*whole/s);
  await server.stopListening();
  server.close();
});

test("after the server stops listening, a keep-alive connection's next call is answered", async () => {
  // A caller's pool keeps an idle connection to a host that shuts down, and the
  // next call is already on its way when the host stops listening. If the host
  // closed the connection, the caller would not know whether the call had run.
  let ready = true;
  const server = createPublicServer(() => ready);
  const port = await findFreePort();
  assert.ok((await server.listen(`127.0.0.1:${port}`)).isOk);
  const keptConnection = await openConnection(port);
  assert.ok(keptConnection !== undefined);
  assert.match(await sendRequest(keptConnection), /200 OK.*whole/s);
  ready = false;
  await server.stopListening();
  assert.equal(await openConnection(port), undefined, "it still listens");
  const lastResponse = await sendRequest(keptConnection);
  assert.match(lastResponse, /200 OK.*whole/s);
  assert.match(lastResponse, /Connection: close/);
  assert.ok(monotonicMilliseconds() - server.lastRequestAt < 500);
  server.close();
});

// Guards against calls that are reset at a planned stop: on a loaded host,
// connections wait for a while until they are accepted, and those that still
// wait when the port is closed are lost with what was sent on them.
test("a connection that was opened before the stop is served", async () => {
  const server = createPublicServer(() => false);
  const port = await findFreePort();
  assert.ok((await server.listen(`127.0.0.1:${port}`)).isOk);
  const connections = Array.from({ length: 20 }, () => openConnection(port));
  // They are opened at the end of this turn, and accepted in later ones.
  await new Promise((resolve) => setImmediate(resolve));
  await server.stopListening();
  const answers = (await Promise.all(connections)).map((socket) =>
    socket === undefined ? "refused" : sendRequest(socket)
  );
  for (const answer of await Promise.all(answers)) {
    assert.match(answer, /200 OK.*whole/s);
  }
  server.close();
});

// Guards against a stop that closes the connection of a caller who has yet to
// read most of the answer.
test("a request is in progress until all of its answer has been sent", async () => {
  const answer = Buffer.alloc(LARGE_ANSWER_BYTES);
  const server = createPublicServer(() => false, answer);
  const port = await findFreePort();
  assert.ok((await server.listen(`127.0.0.1:${port}`)).isOk);
  const socket = await openConnection(port);
  assert.ok(socket !== undefined);
  const closed = once(socket, "close");
  let bytes = 0;
  socket.write(REQUEST);
  while (server.lastRequestAt === -Infinity) await nextTurn();
  for (let turn = 0; turn < 20; turn += 1) await nextTurn();
  assert.equal(server.inProgress, 1, "the caller has read nothing yet");
  socket.on("data", (part) => bytes += part.length);
  while (server.inProgress > 0) await nextTurn();
  await server.stopListening();
  server.close();
  await closed;
  assert.ok(bytes > LARGE_ANSWER_BYTES, `${bytes} bytes`);
});
