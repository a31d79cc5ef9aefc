import { EngineClient } from "@teaselrouter/daemon/agent/engine_client.ts";
import { fetchManifest } from "@teaselrouter/daemon/entry/operators/fetch_manifest.ts";
import { FloodingServer } from "@teaselrouter/daemon/http/flooding_server_fixture.ts";
import { FLOODS } from "@teaselrouter/daemon/http/floods_fixture.ts";
import { fetchBytes } from "@teaselrouter/daemon/spread/fetch_bytes.ts";
import { LinkPacer } from "@teaselrouter/daemon/spread/link_pacer.ts";
import { OperatorClient } from "@teaselrouter/operator/client/operator_client.ts";
import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";

/** Within this time a caller knows that it gets no answer; an operator waits. */
const MAX_MILLISECONDS = 6_000;
const MAX_OPERATOR_MILLISECONDS = 17_000;
const DRIP_BYTES = 1_024;
const DRIP_MILLISECONDS = 300;
const OPERATOR = "an operator's command";
/** Beyond what a caller takes, a connection's buffers hold some of it. */
const MAX_BYTES = 96 * 1_048_576;

type Call = (address: string) => Promise<{ isErr: boolean }>;

const pushback = { recordAnswer: () => false };
const engineAt = (address: string) =>
  new EngineClient(() => address, pushback as never);

const CALLS: Record<string, Call> = {
  "an agent that asks for its engine's state": (address) =>
    engineAt(address).readState(),
  "an agent that probes its engine": (address) =>
    engineAt(address).probe().then(() => ({ isErr: true })),
  "an agent that orders a load": (address) =>
    engineAt(address).load({ version: "1", source: "x", fencingToken: 1 })
      .then(() => ({ isErr: true })),
  "an entry host that asks for a manifest": (address) =>
    fetchManifest(`http://${address}`, "writer", "1"),
  "a host that fetches a chunk": (address) =>
    fetchBytes({
      url: `http://${address}/`,
      headers: {},
      expectedBytes: 49_152,
      pacer: new LinkPacer(0),
      signal: new AbortController().signal,
      isFromStore: false,
    }),
  [OPERATOR]: (address) =>
    new OperatorClient(`http://${address}`).get("status"),
};

// Guards against a server, a peer or a store whose bytes have no end, and that
// holds its caller's memory, processor or time.
for (const [name, call] of Object.entries(CALLS)) {
  for (const kind of Object.keys(FLOODS) as (keyof typeof FLOODS)[]) {
    const maxMilliseconds = name === OPERATOR
      ? MAX_OPERATOR_MILLISECONDS
      : MAX_MILLISECONDS;
    test(`${name} closes what has no end: ${kind}`, async () => {
      const server = new FloodingServer(kind);
      await server.open();
      try {
        const from = performance.now();
        const result = await call(server.address);
        assert.ok(result.isErr);
        assert.ok(performance.now() - from < maxMilliseconds, "in time");
        assert.ok(await server.isLeft(), "its connection is closed");
        // Nobody keeps interim answers: their time is bounded.
        const isBounded = kind === "interim answers" ||
          server.bytesSent < MAX_BYTES;
        assert.ok(isBounded, `${server.bytesSent} bytes`);
      } finally {
        server.close();
      }
    });
  }
}

// Guards against a source that sends a byte now and then, never stalls and holds
// its host for hours.
test("a chunk that comes byte by byte is left for another source", async () => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${DRIP_BYTES}\r\n\r\n`);
    const timer = setInterval(() => socket.write("x"), DRIP_MILLISECONDS);
    socket.once("close", () => clearInterval(timer));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  try {
    const from = performance.now();
    const fetched = await fetchBytes({
      url: `http://127.0.0.1:${port}/`,
      headers: {},
      expectedBytes: DRIP_BYTES,
      pacer: new LinkPacer(0),
      signal: new AbortController().signal,
      isFromStore: false,
    });
    assert.equal(fetched.isErr && fetched.error, "slow");
    assert.ok(performance.now() - from < MAX_MILLISECONDS);
  } finally {
    server.close();
  }
});
