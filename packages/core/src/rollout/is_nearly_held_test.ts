import assert from "node:assert/strict";
import { test } from "node:test";
import { isNearlyHeld } from "./is_nearly_held.ts";

test("an engine runs empty while the last chunks arrive, not before", () => {
  // Pattern: 48 chunks arrive in 3.6 s over an even link, in 9 s over one
  // that others share.
  const at = (held: number, elapsedMilliseconds: number) =>
    isNearlyHeld({ held, total: 48, elapsedMilliseconds });
  assert.equal(at(35, 2_625), false, "one second is left");
  assert.equal(at(37, 2_775), true);
  assert.equal(at(37, 6_900), false, "two seconds are left");
  assert.equal(at(44, 8_250), true);
  assert.equal(at(48, 9_000), true);
  assert.equal(at(0, 0), false);
  assert.equal(at(20, 100), false, "too little was seen");
});
