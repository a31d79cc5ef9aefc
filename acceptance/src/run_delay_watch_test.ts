import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import process from "node:process";
import { RunDelayWatch } from "./run_delay_watch.ts";

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
