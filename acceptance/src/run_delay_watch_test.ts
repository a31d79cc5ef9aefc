import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { LOCAL, RunDelayWatch } from "./run_delay_watch.ts";

// Guards against a process that stands still, or is busy by itself, and passes as
// one that its machine did not run.
test("a process that is stopped or busy is not held back by its machine", async () => {
  const busy = spawn(process.execPath, [
    "-e",
    "setInterval(() => { for (const at = Date.now(); Date.now() < at + 300;); }, 400)",
  ]);
  const watch = new RunDelayWatch(() => [{ name: "busy", pid: busy.pid! }]);
  try {
    await sleep(300);
    watch.start();
    await sleep(800);
    busy.kill("SIGSTOP");
    await sleep(800);
    busy.kill("SIGCONT");
    await sleep(400);
    const held = watch.delays.filter(({ from, to }) => to - from > 750);
    assert.deepEqual(held, []);
  } finally {
    watch.stop();
    busy.kill("SIGKILL");
  }
});

// Guards against a stand-in that stands still itself and blames the gateways.
test("the watch tells when its own process stood still", async () => {
  const watch = new RunDelayWatch(() => []);
  watch.start();
  try {
    await sleep(300);
    const until = performance.now() + 500;
    while (performance.now() < until);
    await sleep(200);
    const stall = watch.delays.find(({ process, to }) =>
      process === LOCAL && to >= until
    );
    assert.ok(stall !== undefined);
    assert.ok(stall.to - stall.from >= 300);
  } finally {
    watch.stop();
  }
});
