import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { CUT_HEADS } from "../http/cut_heads_fixture.ts";
import { GatewayFixture } from "./gateway_fixture.ts";
import { RawClient } from "./raw_client.ts";

const EVENT_HEAD =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
const WHOLE = `HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole`;
const ENDS = ["close", "reset"] as const;

type End = (typeof ENDS)[number];

/** Sends the bytes, and ends the connection. */
function cut(socket: Socket, text: string, end: End): void {
  if (end === "close") return void socket.end(text);
  socket.write(text, () => socket.resetAndDestroy());
}

/** Calls the handlers in turn, one for each request that arrives. */
function inTurn(...handlers: ((socket: Socket) => void)[]) {
  let arrivals = 0;
  return (socket: Socket) =>
    void socket.on("data", () => handlers[arrivals++]?.(socket));
}

async function ask(
  gateway: GatewayFixture,
  path: string,
): Promise<{ status: number; body: string; isReset: boolean }> {
  const client = new RawClient(
    gateway.port,
    `GET ${path} HTTP/1.1\r\nHost: x\r\nId: a1\r\nConnection: close\r\n\r\n`,
  );
  const received = await client.readToEnd();
  const [head, ...rest] = received.split("\r\n\r\n");
  const status = Number(head!.split(" ")[1]);
  return { status, body: rest.join("\r\n\r\n"), isReset: client.isReset };
}

/** Each place within a head, and both ends. */
function* listCuts(head: string): Generator<{ text: string; end: End }> {
  for (let bytes = 0; bytes < head.length; bytes += 1) {
    for (const end of ENDS) yield { text: head.slice(0, bytes), end };
  }
}

// Guards against a 200 with an empty or a short body, framed as whole.
for (const [framing, { head }] of Object.entries(CUT_HEADS)) {
  test(`an answer cut within its head, with ${framing}, is asked for again`, async () => {
    for (const { text, end } of listCuts(head)) {
      const gateway = await GatewayFixture.open({
        backends: 2,
        backend: inTurn(
          (socket) => cut(socket, text, end),
          (socket) => socket.write(WHOLE),
        ),
        route: { maxBackends: 2 },
      });
      const { status, body } = await ask(gateway, "/safe/");
      gateway.close();
      assert.deepEqual([status, body], [200, "whole"], `${text.length} ${end}`);
    }
  });

  test(`an answer cut within its head, with ${framing}, on a kept connection is no success`, async () => {
    for (const { text, end } of listCuts(head)) {
      const gateway = await GatewayFixture.open({
        backend: inTurn(
          (socket) => socket.write(WHOLE),
          (socket) => cut(socket, text, end),
        ),
        route: { maxBackends: 1 },
      });
      const first = await ask(gateway, "/safe/");
      const second = await ask(gateway, "/unsafe/");
      gateway.close();
      assert.equal(first.status, 200);
      assert.equal(second.status, 502, `${text.length} ${end}`);
    }
  });
}

const BEGUN = `${EVENT_HEAD}id: 1\ndata: one\n\nid: 2\nda`;

// Guards against a stream that passes for whole as the head of its next part is
// cut.
test("a stream that another server's cut head was to go on with goes on elsewhere", async () => {
  for (const { text, end } of listCuts(EVENT_HEAD)) {
    const gateway = await GatewayFixture.open({
      backends: 3,
      backend: inTurn(
        (socket) => cut(socket, BEGUN, "close"),
        (socket) => cut(socket, text, end),
        (socket) => void socket.end(`${EVENT_HEAD}id: 2\ndata: two\n\n`),
      ),
      route: { maxBackends: 3, resumable: true },
    });
    const { status, body } = await ask(gateway, "/stream/");
    gateway.close();
    assert.equal(status, 200);
    assert.match(body, /data: one/, `${text.length} ${end}`);
    assert.match(body, /data: two/, `${text.length} ${end}`);
  }
});

test("a stream whose next part was cut within its head doesn't look whole", async () => {
  for (const { text, end } of listCuts(EVENT_HEAD)) {
    const gateway = await GatewayFixture.open({
      backends: 2,
      backend: inTurn(
        (socket) => cut(socket, BEGUN, "close"),
        (socket) => cut(socket, text, end),
      ),
      route: { maxBackends: 2, resumable: true },
    });
    const { body, isReset } = await ask(gateway, "/stream/");
    gateway.close();
    assert.ok(isReset || !body.endsWith("0\r\n\r\n"), `${text.length} ${end}`);
  }
});

const TRAILERS = "0\r\nX-Sum: 12\r\nX-Other: 3\r\n\r\n";

// Guards against an answer that passes for whole as its trailers are cut.
test("an answer cut within its trailers doesn't look whole", async () => {
  const { head } = CUT_HEADS["chunks"]!;
  for (let bytes = 1; bytes < TRAILERS.length; bytes += 1) {
    for (const end of ENDS) {
      const text = `${head}5\r\nwhole\r\n${TRAILERS.slice(0, bytes)}`;
      const gateway = await GatewayFixture.open({
        backend: inTurn((socket) => cut(socket, text, end)),
        route: { maxBackends: 1 },
      });
      const { status, body, isReset } = await ask(gateway, "/safe/");
      gateway.close();
      const isCut = isReset || !body.endsWith("0\r\n\r\n");
      assert.ok(status !== 200 || isCut, `${bytes} ${end}: ${body}`);
    }
  }
});
