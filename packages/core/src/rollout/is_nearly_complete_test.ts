import assert from "node:assert/strict";
import { test } from "node:test";
import { isNearlyHeld } from "./is_nearly_held.ts";

test("an engine runs empty while the last chunks arrive, not before", () => {
  // Pattern: 48 chunks arrive in 3.6 s over an even link, in 9 s over one
  // that others share.
  const at = (held: number, elapsedMilliseconds: number) =>
    isNearlyHeld({
      held,
      total: 48,
      elapsedMilliseconds,
      quietMilliseconds: 70,
    });
  assert.equal(at(35, 2_625), false, "one second is left");
  assert.equal(at(37, 2_775), true);
  assert.equal(at(37, 6_900), false, "two seconds are left");
  assert.equal(at(44, 8_250), true);
  assert.equal(at(48, 9_000), true);
  assert.equal(at(0, 0), false);
  assert.equal(at(20, 100), false, "too little was seen");
});

// Story: the weight store goes down with two chunks of a version still to come.
// Engines that had stopped taking requests for it stood idle for six seconds.
test("a version whose last chunks don't come is not nearly held", () => {
  const after = (quietMilliseconds: number) =>
    isNearlyHeld({
      held: 46,
      total: 48,
      elapsedMilliseconds: 3_400 + quietMilliseconds,
      quietMilliseconds,
    });
  assert.equal(after(200), true);
  assert.equal(after(1_000), false);
});
