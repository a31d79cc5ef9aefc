import assert from "node:assert/strict";
import { test } from "node:test";
import { EventQueue } from "../overload/event_queue.ts";
import type { ModelledCall } from "./modelled_call.ts";
import { ModelledEngine } from "./modelled_engine.ts";

const ENGINE = {
  slots: 2,
  queue: 4,
  step_ms: 10,
  step_per_request_ms: 0,
  steps_per_pass: 5,
  read_tokens_per_ms: 20,
  pass_tokens: 2_000,
};

/**
 * Runs one call of 1,000 prompt and 11 answer tokens for each rank. Returns the
 * times of each call's events.
 */
function recordEventTimes(ranks: number[]): number[][] {
  const events = new EventQueue();
  const engine = new ModelledEngine({ events, engine: ENGINE });
  const times = ranks.map(() => [] as number[]);
  ranks.forEach((rank, index) => {
    engine.tryEnqueue({
      call: {} as ModelledCall,
      rank,
      pendingPromptTokens: 1_000,
      pendingAnswerTokens: 11,
      onEvent: () => times[index]!.push(events.now),
      onEnd: () => undefined,
    });
  });
  events.runUntil(10_000);
  return times;
}

test("the first event follows the prefill, the others each pass", () => {
  assert.deepEqual(recordEventTimes([1]), [[50, 100, 150]]);
});

test("the prefill of another call's prompt delays decoding", () => {
  const [first, second] = recordEventTimes([1, 1]);
  assert.equal(first![0], 50);
  assert.deepEqual(second!.slice(0, 1), [150]);
  assert.equal(first![1], 150);
});

test("a call of lower rank is served before waiting ones of higher rank", () => {
  const [, , late, timely] = recordEventTimes([1, 1, 6, 1]);
  assert.ok(timely![0]! < late![0]!);
});
