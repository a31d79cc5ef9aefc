import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { BackendPushback } from "./backend_pushback.ts";
import { EngineClient } from "./engine_client.ts";

// Guards against pushback that is read in the answers to calls only: an engine
// can ask for a pause, or announce its shutdown, in any of its answers.
test("answers about state, loads and probes are read for pushback", async () => {
  const ask = [
    (engine: EngineClient) => engine.readState(),
    (engine: EngineClient) => engine.probe(),
    (engine: EngineClient) =>
      engine.load({ version: "drafter@2", source: "", fencingToken: 1 }),
  ];
  for (const request of ask) {
    const server = createServer((_request, response) => {
      response.writeHead(503, {
        "Retry-After": "3",
        "Teaselrouter-Shutdown": "1",
      }).end();
    });
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", () => resolve())
    );
    const { port } = server.address() as AddressInfo;
    const pushback = new BackendPushback();
    const changes: string[] = [];
    pushback.changes$.subscribe(({ kind }) => changes.push(kind));
    const engine = new EngineClient(() => `127.0.0.1:${port}`, pushback);
    try {
      assert.ok((await request(engine)).isErr);
      assert.equal(pushback.isShuttingDown, true);
      assert.ok(changes.includes("shutting-down"));
    } finally {
      pushback.stop();
      server.close();
      server.closeAllConnections();
    }
  }
});
