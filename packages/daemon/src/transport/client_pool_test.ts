import { TimelineService } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { createServer, type Http2Session } from "node:http2";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { ClientPool } from "./client_pool.ts";

// Guards against calls in flight on a connection that has gone silent, each of
// which takes the new connection from the pool when it notices: dozens are opened
// at once.
test("a call on an earlier connection does not drop the present one", async () => {
  const sessions = new Set<Http2Session>();
  const server = createServer();
  server.on("session", (session) => sessions.add(session));
  server.on("stream", (stream) => {
    stream.respond({ ":status": 200, "content-type": "application/proto" });
    stream.end();
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const clients = new ClientPool();
  const early = Array.from(
    { length: 10 },
    () => clients.client(TimelineService, address),
  );
  await early[0]!.read({});
  for (const client of early) {
    clients.dropConnection(address, client);
    await clients.client(TimelineService, address).read({});
  }
  try {
    assert.equal(sessions.size, 2);
  } finally {
    clients.close();
    for (const session of sessions) session.destroy();
    server.close();
  }
});
