import assert from "node:assert/strict";
import { test } from "node:test";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { StartHold } from "./start_hold.ts";

// After a power loss of all hosts the gateways are back a second before the
// control hosts. Guards against refusing all requests meanwhile: a client whose
// first attempt reached no host would use up its second and last one as well,
// and fail, though the system serves again before its deadline.
test("a request is held until the first configuration is known", async () => {
  let configuredAt: number | undefined = undefined;
  const hold = new StartHold({
    configuredAt: () => configuredAt,
    isStopping: () => false,
  });
  const waiting = hold.wait(monotonicMilliseconds());
  configuredAt = monotonicMilliseconds();
  hold.wakeHeldRequests();
  assert.equal(await waiting, true);
});

test("no request is held for long, nor by a gateway long configured or stopping", async () => {
  const now = monotonicMilliseconds();
  const unknown = new StartHold({
    configuredAt: () => undefined,
    isStopping: () => false,
  });
  assert.equal(await unknown.wait(now - 2_000), false);
  const settled = new StartHold({
    configuredAt: () => now - 10_000,
    isStopping: () => false,
  });
  assert.equal(await settled.wait(now), false);
  const stopping = new StartHold({
    configuredAt: () => undefined,
    isStopping: () => true,
  });
  assert.equal(await stopping.wait(now), false);
});

test("the number of held requests is bounded", async () => {
  const hold = new StartHold({
    configuredAt: () => undefined,
    isStopping: () => false,
  });
  const since = monotonicMilliseconds();
  const held = Array.from({ length: 512 }, () => hold.wait(since));
  assert.equal(await hold.wait(since), false);
  hold.wakeHeldRequests();
  assert.deepEqual(new Set(await Promise.all(held)), new Set([true]));
});
