import { BackendRecord } from "@teaselrouter/core/gateway/backend_record.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AnswerForwarder } from "./answer_forwarder.ts";
import type { CallRouting } from "./call_routing.ts";
import type { CallSender } from "./call_sender.ts";
import { CallTakeover } from "./call_takeover.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { SentAttempt } from "./sent_attempt.ts";

// Guards against a request that is sent on after its client has left, while the
// connection of its silent attempt is being closed.
test("after the request's end silence starts no takeover", () => {
  let onSilence = () => {};
  let decisions = 0;
  const takeover = new CallTakeover({
    context: {
      silence: {
        watch: (watched: { onSilence: () => void }) => {
          onSilence = watched.onSilence;
          return () => {};
        },
      },
      metrics: { takeovers: { inc: () => {} } },
      log: { info: () => {} },
    } as unknown as GatewayContext,
    call: { id: "a" } as never,
    sender: {} as CallSender,
    forwarder: {} as AnswerForwarder,
    routing: {
      retriesLeft: 1,
      decideTakeover: () => {
        decisions += 1;
        return { kind: "keep", reason: "no-place" };
      },
    } as unknown as CallRouting,
    onFailure: () => {},
  });
  takeover.watch(
    {
      candidate: {
        record: new BackendRecord(),
        announcement: { instance: "one" },
      },
      hasEnded: false,
    } as unknown as SentAttempt,
  );
  onSilence();
  takeover.stop("the client has left");
  onSilence();
  assert.equal(decisions, 1);
});
