import { sleep } from "@teaselrouter/daemon/transport/sleep.ts";
import type { Exchange } from "@teaselrouter/daemon/agent/exchange.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { waitUntil } from "../harness/wait_until.ts";
import { withAgentFixture } from "./with_bench.ts";

const TIMEOUT_MILLISECONDS = 10_000;

async function readFrom(
  exchange: Exchange,
  offset: number,
): Promise<string> {
  let text = "";
  for await (const { body } of exchange.read(offset)) {
    if (body.case === "data") text += new TextDecoder().decode(body.value);
  }
  return text;
}

test("a cancelled call frees the engine at once", async () => {
  // Guards against wasted engine slots: a caller disconnects in the middle of
  // a long answer, while other calls wait for the slot.
  await withAgentFixture(true, async (fixture) => {
    fixture.setCompleteTarget("1");
    assert.ok(await fixture.waitUntilServing("1"));
    fixture.startCall("left alone");
    await waitUntil(
      () => fixture.engine.startedCalls === 1,
      TIMEOUT_MILLISECONDS,
    );
    fixture.cancel("left alone");
    const freed = await waitUntil(
      () => fixture.engine.abandonedCalls === 1 && fixture.runningCalls === 0,
      TIMEOUT_MILLISECONDS,
    );
    assert.ok(freed, "the engine kept running the call");
  });
});

test("a repeatable call whose answer nobody reads is cancelled", async () => {
  // Guards against calls that run for a caller that is gone: the entry host
  // died together with the caller's connection, so it sends no cancel. The
  // agent must cancel a repeatable call by itself soon after that.
  await withAgentFixture(true, async (fixture) => {
    fixture.engine.stallsAnswers = true;
    fixture.setCompleteTarget("1");
    assert.ok(await fixture.waitUntilServing("1"));
    fixture.startCall("nobody reads");
    const freed = await waitUntil(
      () => fixture.runningCalls === 0 && fixture.engine.startedCalls === 1,
      TIMEOUT_MILLISECONDS,
    );
    assert.ok(freed, "the call was not cancelled");
  });
});

test("an answer can be read again from any offset", async () => {
  // Guards against answers lost with a connection that goes silent: the reader
  // reconnects and continues the answer at the offset where it stopped.
  await withAgentFixture(true, async (fixture) => {
    fixture.setCompleteTarget("1");
    assert.ok(await fixture.waitUntilServing("1"));
    const exchange = fixture.startCall("read twice");
    await sleep(20);
    const whole = await readFrom(exchange, 0);
    assert.ok(whole.length > 100);
    for (const offset of [0, 1, 99, whole.length - 1, whole.length]) {
      assert.equal(await readFrom(exchange, offset), whole.slice(offset));
    }
    assert.equal(
      fixture.startCall("read twice"),
      exchange,
      "the call ran a second time",
    );
    assert.equal(fixture.engine.startedCalls, 1);
  });
});
