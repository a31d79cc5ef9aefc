import { TimelineService } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import {
  createServer,
  type Http2Session,
  type ServerHttp2Stream,
} from "node:http2";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { FloodingServer } from "../http/flooding_server_fixture.ts";
import { FLOODS } from "../http/floods_fixture.ts";
import { ClientPool } from "./client_pool.ts";
import { MAX_MESSAGE_BYTES } from "./max_message_bytes.ts";

const TIMEOUT_MILLISECONDS = 4_000;
const PART = Buffer.alloc(1_048_576);

// Guards against another process, or what has its address now, whose message has
// no end and that fills this one's memory.
test("a message of a peer without end is given up", async () => {
  const sessions = new Set<Http2Session>();
  const server = createServer();
  let bytes = 0;
  let isClosed = false;
  server.on("session", (session) => sessions.add(session));
  server.on("stream", (stream: ServerHttp2Stream) => {
    stream.on("error", () => undefined);
    stream.once("close", () => isClosed = true);
    stream.respond({ ":status": 200, "content-type": "application/proto" });
    const send = () => {
      if (stream.destroyed) return;
      bytes += PART.length;
      if (stream.write(PART)) setImmediate(send);
      else stream.once("drain", send);
    };
    send();
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const clients = new ClientPool();
  const client = clients.client(TimelineService, `127.0.0.1:${port}`);
  try {
    await assert.rejects(client.read({}, { timeoutMs: 60_000 }));
    assert.ok(bytes < 2 * MAX_MESSAGE_BYTES, `${bytes} bytes`);
    const until = performance.now() + TIMEOUT_MILLISECONDS;
    while (!isClosed && performance.now() < until) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    assert.ok(isClosed, "its stream is closed");
  } finally {
    clients.close();
    for (const session of sessions) session.destroy();
    server.close();
  }
});

// Guards against an address that has gone to a server which speaks otherwise.
for (const kind of Object.keys(FLOODS) as (keyof typeof FLOODS)[]) {
  test(`a call to a server that speaks otherwise ends: ${kind}`, async () => {
    const server = new FloodingServer(kind);
    await server.open();
    const clients = new ClientPool();
    try {
      const client = clients.client(TimelineService, server.address);
      const call = client.read({}, { timeoutMs: TIMEOUT_MILLISECONDS });
      await assert.rejects(call);
      assert.ok(await server.isLeft(), "its connection is closed");
      assert.ok(server.bytesSent < MAX_MESSAGE_BYTES, `${server.bytesSent}`);
    } finally {
      clients.close();
      server.close();
    }
  });
}
