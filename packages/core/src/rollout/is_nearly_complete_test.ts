import assert from "node:assert/strict";
import { test } from "node:test";
import { isNearlyComplete } from "./is_nearly_complete.ts";

test("an engine drains while the last chunks arrive, not before", () => {
  // 48 chunks arrive in 3.6 s over an unshared link and in 9 s over a link that
  // other hosts share.
  const at = (held: number, elapsedMilliseconds: number) =>
    isNearlyComplete({
      held,
      total: 48,
      elapsedMilliseconds,
      millisecondsSinceLastChunk: 70,
    });
  assert.equal(at(35, 2_625), false, "one second is left");
  assert.equal(at(37, 2_775), true);
  assert.equal(at(37, 6_900), false, "two seconds are left");
  assert.equal(at(44, 8_250), true);
  assert.equal(at(48, 9_000), true);
  assert.equal(at(0, 0), false);
  assert.equal(at(20, 100), false, "too little was seen");
});

// The weight store goes down while two chunks of a version are missing. Engines
// that had stopped accepting requests for this version were idle for six
// seconds.
test("a version whose last chunks have stalled is not nearly complete", () => {
  const after = (millisecondsSinceLastChunk: number) =>
    isNearlyComplete({
      held: 46,
      total: 48,
      elapsedMilliseconds: 3_400 + millisecondsSinceLastChunk,
      millisecondsSinceLastChunk,
    });
  assert.equal(after(200), true);
  assert.equal(after(1_000), false);
});
