import { TimelineService } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { ClientPool } from "./client_pool.ts";
import { InternalServer } from "./internal_server.ts";

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
