import { OperatorClient } from "@teaselrouter/operator/client/operator_client.ts";
import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { BackendPushback } from "@teaselrouter/daemon/agent/backend_pushback.ts";
import { EngineClient } from "@teaselrouter/daemon/agent/engine_client.ts";
import { fetchManifest } from "@teaselrouter/daemon/entry/operators/fetch_manifest.ts";
import { CUT_HEADS } from "@teaselrouter/daemon/http/cut_heads_fixture.ts";

const HOST = "127.0.0.1";

type Read = (address: string) => Promise<{ isErr: boolean }>;

const READERS: Record<string, Read> = {
  "an engine's state": (address) =>
    new EngineClient(() => address, new BackendPushback()).readState(),
  "an order to load": (address) =>
    new EngineClient(() => address, new BackendPushback()).load({
      version: "m@1",
      source: "http://127.0.0.1/weights",
      fencingToken: 1,
    }),
  "a manifest": (address) => fetchManifest(`http://${address}`, "m", "1"),
  "an operator's read": (address) =>
    new OperatorClient(`http://${address}`).get("status"),
};

async function readFrom(read: Read, text: string, isReset: boolean) {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      if (!isReset) return void socket.end(text);
      socket.write(text, () => socket.resetAndDestroy());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  try {
    return await read(`${HOST}:${port}`);
  } finally {
    server.close();
  }
}

// Guards against a state, an order or a manifest that passes for answered as the
// answer's head was cut.
for (const [name, read] of Object.entries(READERS)) {
  test(`${name} whose answer is cut within its head fails`, async () => {
    for (const { head } of Object.values(CUT_HEADS)) {
      for (let bytes = 0; bytes < head.length; bytes += 1) {
        for (const isReset of [false, true]) {
          const result = await readFrom(read, head.slice(0, bytes), isReset);
          assert.ok(result.isErr, `${bytes} of ${JSON.stringify(head)}`);
        }
      }
    }
  });
}
