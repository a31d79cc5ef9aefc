import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { PublicServer } from "./public_server.ts";

const REQUEST = "POST /v1/services/a/b HTTP/1.1\r\nHost: x\r\n" +
  "Content-Length: 0\r\n\r\n";

function freePort(): Promise<number> {
  const server = createServer();
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });
}

function open(port: number): Promise<Socket | undefined> {
  return new Promise((resolve) => {
    const socket = connect({ port, host: "127.0.0.1" });
    socket.once("connect", () => resolve(socket));
    socket.once("error", () => resolve(undefined));
  });
}

function askOn(socket: Socket, request = REQUEST): Promise<string> {
  return new Promise((resolve) => {
    socket.once("data", (bytes) => resolve(String(bytes)));
    socket.once("close", () => resolve("closed"));
    socket.once("error", () => resolve("broken"));
    socket.write(request);
  });
}

function newServer(isReady: () => boolean): PublicServer {
  return new PublicServer({
    idleMilliseconds: 5_000,
    isReady,
    handleCall: (_request, response) => {
      response.end("whole");
      return Promise.resolve();
    },
    handleOperator: () => Promise.resolve(),
    onFault: () => undefined,
  });
}

test("a planned stop shows in /ready first, while calls are still taken", async () => {
  let ready = true;
  const server = newServer(() => ready);
  const port = await freePort();
  assert.ok((await server.listen(`127.0.0.1:${port}`)).isOk);
  const ask = async (request: string) => {
    const socket = await open(port);
    assert.ok(socket !== undefined);
    return askOn(socket, request);
  };
  const readiness = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";
  const liveness = "GET /live HTTP/1.1\r\nHost: x\r\n\r\n";
  assert.match(await ask(readiness), /^HTTP\/1\.1 200/);
  ready = false;
  assert.match(await ask(readiness), /^HTTP\/1\.1 503/);
  assert.match(await ask(liveness), /^HTTP\/1\.1 200/);
  assert.match(await ask(REQUEST), /200 OK.*whole/s);
  server.stopListening();
  server.close();
});

test("after listening ended, a kept connection's next call is answered", async () => {
  // Story: a caller's pool keeps an idle connection to a host that stops.
  // Its next call is already on the way when the host ends listening; closed
  // under it, the caller could not tell whether the call had run.
  let ready = true;
  const server = newServer(() => ready);
  const port = await freePort();
  assert.ok((await server.listen(`127.0.0.1:${port}`)).isOk);
  const kept = await open(port);
  assert.ok(kept !== undefined);
  assert.match(await askOn(kept), /200 OK.*whole/s);
  ready = false;
  server.stopListening();
  assert.equal(await open(port), undefined, "it still listens");
  const last = await askOn(kept);
  assert.match(last, /200 OK.*whole/s);
  assert.match(last, /Connection: close/);
  assert.ok(!server.isQuiet(Date.now()));
  server.close();
});
