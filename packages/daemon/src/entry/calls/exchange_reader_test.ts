import type { AnswerFrame } from "@teaselrouter/messages/agent.ts";
import {
  AnswerFrameSchema,
  RunRequestSchema,
} from "@teaselrouter/messages/agent.ts";
import { create } from "@bufbuild/protobuf";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Subject } from "rxjs";
import type { ClientPool } from "../../transport/client_pool.ts";
import { ExchangeReader } from "./exchange_reader.ts";

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

function frame(body: AnswerFrame["body"]): AnswerFrame {
  return create(AnswerFrameSchema, { body });
}

/** Calls stay silent on the first connection; on the next, each one ends. */
function openPool() {
  const dropped$ = new Subject<void>();
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
    dropped$: () => dropped$,
    dropConnection: () => {
      isFirst = false;
      dropped$.next();
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
function openPoolOfSilences(silences: number): ClientPool {
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
  return {
    client: () => client,
    dropped$: () => new Subject<void>(),
    dropConnection: () => undefined,
  } as unknown as ClientPool;
}

// Guards against a call given up for the agent's fourth silence in its long run,
// though the agent has said after each one that the call goes on.
test("silences again and again, with word of the agent between them, end no call", async () => {
  const waited = await measureRead(openPoolOfSilences(4));
  assert.ok(waited >= 4 * 1_400, `${waited} ms`);
});
