import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AgentFixture } from "./agent_fixture.ts";
import { withAgentFixture } from "./with_bench.ts";

/**
 * Sends a load order with an old fencing token, as if it had been delayed in
 * transit. Returns the HTTP status.
 */
async function sendStaleLoadOrder(fixture: AgentFixture, version: string) {
  const answer = await fetch(`http://${fixture.engineAddress}/v1/load`, {
    method: "POST",
    body: JSON.stringify({
      version: `drafter@${version}`,
      source: `http://${fixture.agentAddress}/weights/drafter%40${version}`,
      fencing_token: 1,
    }),
  });
  await answer.text();
  return answer.status;
}

for (const checksFencing of [true, false]) {
  const behaviour = checksFencing ? "checks" : "ignores";
  test(`a delayed load order at an engine that ${behaviour} fencing tokens`, async () => {
    // Guards against answers from the wrong weights: an order to load version
    // 1 is delayed and arrives while version 2 is served and calls are in
    // flight. No caller may get an answer of version 1 that is labeled as 2,
    // or a mixture of both. The agent loads version 2 again by itself.
    await withAgentFixture(checksFencing, async (fixture) => {
      fixture.setCompleteTarget("1");
      assert.ok(await fixture.waitUntilServing("1"));
      fixture.setCompleteTarget("2");
      assert.ok(await fixture.waitUntilServing("2"));
      const calls = fixture.makeCallsFor(1_500);
      await sleep(300);
      const status = await sendStaleLoadOrder(fixture, "1");
      assert.equal(status, checksFencing ? 409 : 202);
      await calls;
      assert.deepEqual(fixture.wrongAnswers, []);
      assert.ok(
        await fixture.waitUntilServing("2"),
        "version 2 is not served again",
      );
      assert.ok(fixture.answeredCalls > 0);
      if (checksFencing) assert.equal(fixture.refusedCalls, 0);
    });
  });
}

test("an engine that reports a load as done too early gets no calls until it is done", async () => {
  // Guards against answers from incomplete weights: an engine names version 2
  // as its version while it still receives the weights.
  await withAgentFixture(true, async (fixture) => {
    fixture.setCompleteTarget("1");
    assert.ok(await fixture.waitUntilServing("1"));
    fixture.engine.reportsLoadedEarly = true;
    fixture.setCompleteTarget("2");
    await fixture.makeCallsFor(1_500);
    assert.deepEqual(fixture.wrongAnswers, []);
    assert.ok(await fixture.waitUntilServing("2"));
  });
});

test("a load that fails is retried, and no wrong answer is served", async () => {
  // Guards against a replica that stays without weights, and against answers of
  // version 1 that are labeled as 2: the engine accepts the order to load
  // version 2, but keeps the weights of version 1.
  await withAgentFixture(true, async (fixture) => {
    fixture.setCompleteTarget("1");
    assert.ok(await fixture.waitUntilServing("1"));
    fixture.engine.failsNextLoad = true;
    fixture.setCompleteTarget("2");
    await fixture.makeCallsFor(1_500);
    assert.deepEqual(fixture.wrongAnswers, []);
    assert.ok(
      await fixture.waitUntilServing("2"),
      "version 2 is not served after the retry",
    );
  });
});
