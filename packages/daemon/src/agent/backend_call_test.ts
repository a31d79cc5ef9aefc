import { AnswerMemory } from "@teaselrouter/core/answers/answer_memory.ts";
import { create } from "@bufbuild/protobuf";
import { RunRequestSchema } from "@teaselrouter/messages/agent.ts";
import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { CUT_HEADS } from "../http/cut_heads_fixture.ts";
import { AgentState } from "./agent_state.ts";
import { BackendCall } from "./backend_call.ts";
import { BackendRateLimiter } from "./backend_rate_limiter.ts";
import type { EngineClient } from "./engine_client.ts";
import { Exchange } from "./exchange.ts";

const HOST = "127.0.0.1";

/** Runs a call at a backend server that sends these bytes and closes. */
async function call(text: string, isReset: boolean) {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      if (!isReset) return void socket.end(text);
      socket.write(text, () => socket.resetAndDestroy());
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const { port } = server.address() as AddressInfo;
  const state = new AgentState();
  state.recordAnnouncement({
    service: "drafter",
    address: `${HOST}:${port}`,
    checks_fencing: true,
    repeatable: true,
    uses_weights: false,
    slots: 4,
  }, Date.now());
  const exchange = new Exchange("one", true);
  try {
    const result = await new BackendCall({
      memory: new AnswerMemory(),
      state,
      limit: new BackendRateLimiter(),
      engine: undefined as unknown as EngineClient,
      request: create(RunRequestSchema, {
        requestId: "one",
        path: "/x",
        deadlineMilliseconds: 1_000,
      }),
      exchange,
    }).run();
    return { kind: result.kind, hasStarted: exchange.hasStarted };
  } finally {
    server.close();
  }
}

// Guards against an answer that is passed on as whole, and empty, as its head
// was cut.
test("an answer that is cut within its head fails, at each byte", async () => {
  for (const { head } of Object.values(CUT_HEADS)) {
    for (let bytes = 0; bytes < head.length; bytes += 1) {
      for (const isReset of [false, true]) {
        const result = await call(head.slice(0, bytes), isReset);
        const place = `${bytes} of ${JSON.stringify(head)}`;
        assert.deepEqual(result, { kind: "failed", hasStarted: false }, place);
      }
    }
  }
});

test("an answer whose head comes whole is passed on", async () => {
  const { head, body } = CUT_HEADS["a length"]!;
  assert.deepEqual(await call(head + body, false), {
    kind: "answered",
    hasStarted: true,
  });
});
