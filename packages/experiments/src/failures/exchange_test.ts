import { pause } from "@teaselrouter/daemon/transport/pause.ts";
import type { Exchange } from "@teaselrouter/daemon/agent/exchange.ts";
import assert from "node:assert/strict";
import { test } from "node:test";
import { waitUntil } from "../harness/wait_until.ts";
import { withBench } from "./with_bench.ts";

const CHECK_MILLISECONDS = 10_000;

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

test("a caller that leaves frees the engine at once", async () => {
  // Story: a caller hangs up in the middle of a long answer. The engine must
  // not go on for nobody while others wait for its slot.
  await withBench(true, async (bench) => {
    bench.target("1");
    assert.ok(await bench.serves("1"));
    bench.send("left alone");
    await waitUntil(() => bench.engine.calls === 1, CHECK_MILLISECONDS);
    bench.cancel("left alone");
    const freed = await waitUntil(
      () => bench.engine.abandoned === 1 && bench.running === 0,
      CHECK_MILLISECONDS,
    );
    assert.ok(freed, "the engine went on");
  });
});

test("an answer that nobody reads is given up by itself", async () => {
  // Story: the entry host died with its caller's connection, so no cancel
  // ever comes. A repeatable call is not worked on for long after that.
  await withBench(true, async (bench) => {
    bench.engine.stallsAnswers = true;
    bench.target("1");
    assert.ok(await bench.serves("1"));
    bench.send("nobody reads");
    const freed = await waitUntil(
      () => bench.running === 0 && bench.engine.calls === 1,
      CHECK_MILLISECONDS,
    );
    assert.ok(freed, "the call was kept for nobody");
  });
});

test("an answer can be read again from any offset", async () => {
  // Story: a connection goes silent in the middle of an answer. The reader
  // comes back over a new one and takes the answer up where it stopped.
  await withBench(true, async (bench) => {
    bench.target("1");
    assert.ok(await bench.serves("1"));
    const exchange = bench.send("read twice");
    await pause(20);
    const whole = await readFrom(exchange, 0);
    assert.ok(whole.length > 100);
    for (const offset of [0, 1, 99, whole.length - 1, whole.length]) {
      assert.equal(await readFrom(exchange, offset), whole.slice(offset));
    }
    assert.equal(bench.send("read twice"), exchange, "it ran a second time");
    assert.equal(bench.engine.calls, 1);
  });
});
