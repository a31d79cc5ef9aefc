import type { AnswerFrame } from "@teaselrouter/messages/agent.ts";
import {
  AnswerFrameSchema,
  RunRequestSchema,
} from "@teaselrouter/messages/agent.ts";
import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ClientPool } from "../../transport/client_pool.ts";
import { PooledConnection } from "../../transport/pooled_connection.ts";
import { ExchangeReader } from "./exchange_reader.ts";

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function frame(body: AnswerFrame["body"]): AnswerFrame {
  return create(AnswerFrameSchema, { body });
}

function openConnection(): PooledConnection {
  return new PooledConnection({} as never);
}

/** Calls stay silent on the first connection; on the next, each one ends. */
function openPool() {
  const connection = openConnection();
  let isFirst = true;
  const client = {
    async *run(_request: unknown, { signal }: { signal: AbortSignal }) {
      if (isFirst) {
        await new Promise((_resolve, reject) =>
          signal.addEventListener("abort", () => reject(new Error("aborted")))
        );
      }
      yield frame({ case: "end", value: { totalBytes: 0 } as never });
    },
  };
  const clients = {
    client: () => client,
    connectionOf: () => connection,
    dropConnection: () => {
      isFirst = false;
      connection.drop();
    },
  };
  return clients as unknown as ClientPool;
}

async function measureRead(clients: ClientPool): Promise<number> {
  const startedAt = performance.now();
  const reader = new ExchangeReader({
    clients,
    address: "agent",
    request: create(RunRequestSchema, { requestId: "one" }),
    signal: new AbortController().signal,
    attachOnly: false,
  });
  for await (const { kind } of reader.read()) assert.equal(kind, "end");
  return performance.now() - startedAt;
}

// Guards against calls that each wait out the time of a silent connection, though
// another call on the same one has shown that it carries nothing: with a second
// loss meanwhile they miss their deadline.
test("a connection that one call finds silent is left by all calls on it", async () => {
  const clients = openPool();
  const first = measureRead(clients);
  await sleep(1_000);
  const second = measureRead(clients);
  const waited = await Promise.all([first, second]);
  assert.ok(waited[0]! >= 1_400, `${waited[0]} ms`);
  assert.ok(waited[1]! < 1_100, `${waited[1]} ms`);
});

// Guards against a call whose deadline has passed, or whose caller has left, that
// takes a working connection from all other calls on it.
test("a call that is given up leaves its connection to the others", async () => {
  let drops = 0;
  const clients = {
    ...openPool(),
    dropConnection: () => void (drops += 1),
  } as unknown as ClientPool;
  const aborter = new AbortController();
  const reader = new ExchangeReader({
    clients,
    address: "agent",
    request: create(RunRequestSchema, { requestId: "one" }),
    signal: aborter.signal,
    attachOnly: false,
  });
  setTimeout(() => aborter.abort("deadline"), 100);
  for await (const { kind } of reader.read()) assert.fail(kind);
  assert.equal(drops, 0);
});

/**
 * Each connection tells once that the call goes on, and then carries nothing,
 * until the last, on which the call ends.
 */
function openPoolOfSilences(silences: number) {
  const client = {
    async *run(_request: unknown, { signal }: { signal: AbortSignal }) {
      yield frame({ case: "heartbeat", value: true });
      silences -= 1;
      if (silences >= 0) {
        await new Promise((_resolve, reject) =>
          signal.addEventListener("abort", () => reject(new Error("aborted")))
        );
      }
      yield frame({ case: "end", value: { totalBytes: 0 } as never });
    },
  };
  const clients = {
    client: () => client,
    connectionOf: openConnection,
    dropConnection: () => undefined,
  } as unknown as ClientPool;
  return { clients, countLeft: () => Math.max(0, silences) };
}

// Guards against a call given up for the agent's fourth silence in its long run,
// though the agent has said after each one that the call goes on.
test("silences again and again, with word of the agent between them, end no call", async () => {
  const { clients, countLeft } = openPoolOfSilences(4);
  const waited = await measureRead(clients);
  assert.equal(countLeft(), 0);
  assert.ok(waited >= 4 * 700, `${waited} ms`);
});

/**
 * The first connection carries a part of the answer and goes on after some time;
 * those after it carry nothing.
 */
function openPoolThatGoesOn(silentMilliseconds: number) {
  let opened = 0;
  const client = {
    async *run(_request: unknown, { signal }: { signal: AbortSignal }) {
      yield startFrame();
      yield dataFrame("a part, ");
      await sleepUnlessAborted(silentMilliseconds, signal);
      yield dataFrame("the rest");
      yield frame({ case: "end", value: { totalBytes: 16 } as never });
    },
    async *attach(_request: unknown, { signal }: { signal: AbortSignal }) {
      opened += 1;
      await sleepUnlessAborted(60_000, signal);
      yield frame({ case: "heartbeat", value: true });
    },
  };
  const clients = {
    client: () => client,
    connectionOf: openConnection,
    dropConnection: () => undefined,
  } as unknown as ClientPool;
  return { clients, countOpened: () => opened };
}

function startFrame(): AnswerFrame {
  const value = { status: 200, contentType: "text/plain", version: "1" };
  return frame({ case: "start", value: value as never });
}

function dataFrame(text: string): AnswerFrame {
  return frame({ case: "data", value: new TextEncoder().encode(text) });
}

function sleepUnlessAborted(
  milliseconds: number,
  signal: AbortSignal,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(resolve, milliseconds);
    signal.addEventListener("abort", () => {
      clearTimeout(timer);
      reject(new Error("aborted"));
    });
  });
}

// Guards against an answer that waits for a new connection which takes long, or
// never comes, though the silent one has gone on.
test("a stream that goes on after a silence is read on, without a byte twice", async () => {
  const { clients, countOpened } = openPoolThatGoesOn(1_600);
  const reader = new ExchangeReader({
    clients,
    address: "agent",
    request: create(RunRequestSchema, { requestId: "one" }),
    signal: new AbortController().signal,
    attachOnly: false,
  });
  const startedAt = performance.now();
  let text = "";
  let last = "";
  for await (const part of reader.read()) {
    if (part.kind === "data") text += new TextDecoder().decode(part.bytes);
    last = part.kind;
  }
  assert.equal(`${text} ${last}`, "a part, the rest end");
  assert.equal(countOpened(), 1);
  const milliseconds = performance.now() - startedAt;
  assert.ok(milliseconds < 2_200, `${milliseconds} ms`);
});

/** No connection carries a frame before that much time. */
function openSlowPool(setUpMilliseconds: number): ClientPool {
  const client = {
    async *run(_request: unknown, { signal }: { signal: AbortSignal }) {
      await sleepUnlessAborted(setUpMilliseconds, signal);
      yield frame({ case: "end", value: { totalBytes: 0 } as never });
    },
  };
  return {
    client: () => client,
    connectionOf: openConnection,
    dropConnection: () => undefined,
  } as unknown as ClientPool;
}

// Guards against calls that come to nothing on a busy host, as each connection is
// given up just before it is set up.
test("a connection that takes long to set up is waited for beside the next", async () => {
  const waited = await measureRead(openSlowPool(2_000));
  assert.ok(waited < 3_000, `${waited} ms`);
});
