import { createTestIntake } from "../http/intake_fixture.ts";
import { TimelineService } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { ClientPool } from "./client_pool.ts";
import { InternalServer } from "./internal_server.ts";

const ROUNDS = 10;
const MAX_TURNS = 8;

async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return `127.0.0.1:${port}`;
}

// Guards against a control host that accepts followers' streams before the
// leader election that these followers wait for: setting the streams up would
// delay the election.
test("a connection that is not allowed yet is closed at once, a later one served", async () => {
  let mayConnect = false;
  const server = new InternalServer({
    intake: createTestIntake(),
    routes: (router) => {
      router.service(TimelineService, { read: () => ({ events: [] }) });
    },
    mayConnect: () => mayConnect,
  });
  const address = await freeAddress();
  assert.ok((await server.listen(address)).isOk);
  const clients = new ClientPool();
  const read = () => clients.client(TimelineService, address).read({});
  const startedAt = performance.now();
  await assert.rejects(read());
  assert.ok(performance.now() - startedAt < 1_000);
  mayConnect = true;
  clients.dropConnection(address);
  assert.deepEqual((await read()).events, []);
  clients.close();
  server.close();
});

// Guards against a process that ends, with all its calls, as a server that it has
// a connection to closes it just when a call begins on it.
test("calls that begin as their connection is closed end no process", async () => {
  const uncaught: unknown[] = [];
  const keep = (error: unknown) => void uncaught.push(error);
  process.on("uncaughtException", keep);
  try {
    for (let round = 0; round < ROUNDS; round += 1) {
      for (let turns = 0; turns < MAX_TURNS; turns += 1) {
        await callAsServerCloses(turns);
      }
    }
  } finally {
    process.off("uncaughtException", keep);
  }
  assert.deepEqual(uncaught, []);
});

/** A call begins so many turns of the event loop after the server closes. */
async function callAsServerCloses(turns: number): Promise<void> {
  const server = new InternalServer({
    intake: createTestIntake(),
    routes: (router) => {
      router.service(TimelineService, { read: () => ({ events: [] }) });
    },
  });
  const address = await freeAddress();
  assert.ok((await server.listen(address)).isOk);
  const clients = new ClientPool();
  const client = clients.client(TimelineService, address);
  await client.read({});
  server.close();
  for (let turn = 0; turn < turns; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await client.read({}).catch(() => undefined);
  clients.close();
}
