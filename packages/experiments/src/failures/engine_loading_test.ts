import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AgentBench } from "./agent_bench.ts";
import { withBench } from "./with_bench.ts";

/** An order as an agent gave it long ago, late on its way. */
async function sendLateOrder(bench: AgentBench, version: string) {
  const answer = await fetch(`http://${bench.engineAddress}/v1/load`, {
    method: "POST",
    body: JSON.stringify({
      version: `drafter@${version}`,
      source: `http://${bench.agentAddress}/weights/drafter%40${version}`,
      fencing_token: 1,
    }),
  });
  await answer.text();
  return answer.status;
}

for (const checksFencing of [true, false]) {
  const kind = checksFencing ? "checks" : "ignores";
  test(`a late old order at an engine that ${kind} fencing`, async () => {
    // Story: an order for version 1 was delayed on its way and arrives when
    // version 2 is served and calls are under way. No caller may get an
    // answer of version 1 under the name of 2, or a mixture; version 2 is
    // served again by itself.
    await withBench(checksFencing, async (bench) => {
      bench.target("1");
      assert.ok(await bench.serves("1"));
      bench.target("2");
      assert.ok(await bench.serves("2"));
      const calls = bench.callFor(1_500);
      await pause(300);
      const status = await sendLateOrder(bench, "1");
      assert.equal(status, checksFencing ? 409 : 202);
      await calls;
      assert.deepEqual(bench.wrong, []);
      assert.ok(await bench.serves("2"), "version 2 did not come back");
      assert.ok(bench.answered > 0);
      if (checksFencing) assert.equal(bench.refused, 0);
    });
  });
}

test("an engine that says loaded and is not gets no calls until it is", async () => {
  await withBench(true, async (bench) => {
    bench.target("1");
    assert.ok(await bench.serves("1"));
    bench.engine.liesAboutLoading = true;
    bench.target("2");
    await bench.callFor(1_500);
    assert.deepEqual(bench.wrong, []);
    assert.ok(await bench.serves("2"));
  });
});

test("a load that fails is tried again, and nothing wrong is served", async () => {
  await withBench(true, async (bench) => {
    bench.target("1");
    assert.ok(await bench.serves("1"));
    bench.engine.failsNextLoad = true;
    bench.target("2");
    await bench.callFor(1_500);
    assert.deepEqual(bench.wrong, []);
    assert.ok(await bench.serves("2"), "the second load did not come live");
  });
});
