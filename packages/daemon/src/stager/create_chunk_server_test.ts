import { createTestIntake } from "../http/intake_fixture.ts";
import assert from "node:assert/strict";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { EventLog } from "../log/event_log.ts";
import type { ChunkSender } from "../spread/chunk_sender.ts";
import { createChunkServer } from "./create_chunk_server.ts";

const HOST = "127.0.0.1";

// Guards against a stager that ends at a path that can't be decoded.
test("a path that can't be decoded is not found, and others are served", async (context) => {
  const server = createChunkServer({
    intake: createTestIntake(),
    chunkSender: {
      send: (_request: IncomingMessage, response: ServerResponse) => {
        response.writeHead(200).end();
        return Promise.resolve();
      },
    } as unknown as ChunkSender,
    log: new EventLog("stager", "error"),
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const get = async (path: string) =>
    (await fetch(`http://${HOST}:${port}${path}`)).status;
  assert.equal(await get("/%zz"), 404);
  assert.equal(await get("/chunks/%E0%A4%A/1"), 404);
  assert.equal(await get("/chunks/model%401/1"), 200);
});
