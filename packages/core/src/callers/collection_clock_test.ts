import assert from "node:assert/strict";
import { test } from "node:test";
import { CollectionClock } from "./collection_clock.ts";

// Guards against garbage that grows beyond what the process may use, and against
// a process that does nothing but collect.
test("garbage is collected under pressure, now and then", () => {
  const clock = new CollectionClock(1_000);
  assert.ok(!clock.isDue(400, 0));
  assert.ok(clock.isDue(600, 100));
  assert.ok(!clock.isDue(900, 200));
  assert.ok(clock.isDue(900, 700));
});
