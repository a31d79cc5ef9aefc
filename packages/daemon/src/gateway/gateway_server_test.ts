import { createTestIntake } from "../http/intake_fixture.ts";
import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { GatewayServer } from "./gateway_server.ts";
import type { GatewayContext } from "./gateway_context.ts";

const REQUEST = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

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

function sendRequest(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    socket.once("data", (bytes) => resolve(String(bytes)));
    socket.once("close", () => resolve("closed"));
    socket.once("error", () => resolve("broken"));
    socket.write(REQUEST);
  });
}

/** A gateway's server without a configuration: it answers all with 503. */
async function openServer({ isStopping = (): boolean => true } = {}) {
  let taken = 0;
  const context = {
    intake: createTestIntake(),
    isStopping,
    startHold: {
      wait: () => {
        taken += 1;
        return Promise.resolve(false);
      },
    },
    feed: { table: undefined },
    format: {
      readRequest: () => ({}),
      guaranteesNotRun: () => true,
    },
    random: () => 0.5,
    metrics: { requests: { inc: () => undefined } },
    log: { info: () => undefined },
  };
  const server = new GatewayServer(context as unknown as GatewayContext);
  const port = await findFreePort();
  assert.ok((await server.listen(`127.0.0.1:${port}`)).isOk);
  return { server, port, countTaken: () => taken };
}

// Guards against requests that are reset at a planned stop: on a loaded host,
// connections wait at the port, and closing it loses those.
test("a connection that waits when the gateway stops listening is answered", async () => {
  const { server, port } = await openServer();
  const connections = Array.from({ length: 20 }, () => openConnection(port));
  await new Promise((resolve) => setImmediate(resolve));
  await server.stopListening();
  const answers = (await Promise.all(connections)).map((socket) =>
    socket === undefined ? "refused" : sendRequest(socket)
  );
  for (const answer of await Promise.all(answers)) {
    assert.match(answer, /^HTTP\/1\.1 503/);
  }
  assert.equal(await openConnection(port), undefined, "it still listens");
  server.closeAll();
});

// Guards against requests that are reset on connections kept open by clients: the
// next one is on its way when the gateway stops listening.
test("a kept connection's next request is answered after the gateway stops listening", async () => {
  let isStopping = false;
  const { server, port } = await openServer({ isStopping: () => isStopping });
  const kept = await openConnection(port);
  assert.ok(kept !== undefined);
  assert.match(await sendRequest(kept), /^HTTP\/1\.1 503/);
  isStopping = true;
  await server.stopListening();
  assert.match(await sendRequest(kept), /^HTTP\/1\.1 503.*Connection: close/s);
  server.closeAll();
});

// Guards against answers that are cut off at the end of the grace time: a request
// that is taken late has less of it left than a long answer needs.
test("a request that arrives after the gateway stops listening is refused, not run", async () => {
  const { server, port, countTaken } = await openServer();
  const early = await openConnection(port);
  const late = await openConnection(port);
  assert.ok(early !== undefined && late !== undefined);
  await sendRequest(early);
  assert.equal(countTaken(), 1);
  await server.stopListening();
  const answer = await sendRequest(late);
  assert.match(answer, /^HTTP\/1\.1 503.*Retry-After: 0\.\d+/s);
  assert.equal(countTaken(), 1);
  server.closeAll();
});
