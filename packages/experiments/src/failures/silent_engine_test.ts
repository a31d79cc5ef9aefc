import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import { withAgentFixture } from "./with_bench.ts";

const SLOTS = 8;
const SILENCE_MILLISECONDS = 2_000;
/** Between the starts of calls, so that they end one after the other. */
const START_INTERVAL_MILLISECONDS = 8;

// Guards against whole answers that are given up at their end, as the engine
// falls silent just when it is asked whether its weights are still the same.
test("an engine's silence at the end of an answer costs no answer", async () => {
  await withAgentFixture(false, async (fixture) => {
    fixture.setCompleteTarget("1");
    assert.ok(await fixture.waitUntilServing("1"));
    fixture.engine.silenceAfterAnswer = SILENCE_MILLISECONDS;
    const calls = [];
    for (let count = 0; count < SLOTS; count += 1) {
      calls.push(fixture.makeCall(`call ${count}`));
      await sleep(START_INTERVAL_MILLISECONDS);
    }
    await Promise.all(calls);
    assert.deepEqual(fixture.refusalReasons, {});
    assert.deepEqual(fixture.wrongAnswers, []);
    assert.equal(fixture.answeredCalls, SLOTS);
  });
});
