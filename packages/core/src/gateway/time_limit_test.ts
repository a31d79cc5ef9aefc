import assert from "node:assert/strict";
import fc from "fast-check";
import { test } from "node:test";
import { TimeLimit } from "./time_limit.ts";

test("a longer limit counts at once, a shorter one after the longer one's time", () => {
  const limit = new TimeLimit(1_000);
  assert.equal(limit.longestAt(0), 1_000);
  limit.replace(3_000, 100);
  assert.equal(limit.longestAt(100), 3_000);
  limit.replace(200, 500);
  assert.equal(limit.longestAt(3_499), 3_000);
  assert.equal(limit.longestAt(3_500), 200);
});

// Guards against limits that end something before the time that it had when it
// began, however often the limit was replaced meanwhile, and against old limits
// that count for ever.
test("nothing ends before the limit of its beginning, and old limits end", () => {
  const change = fc.record({
    milliseconds: fc.integer({ min: 0, max: 1_000 }),
    pause: fc.integer({ min: 1, max: 500 }),
  });
  fc.assert(fc.property(fc.array(change, { maxLength: 20 }), (changes) => {
    const limit = new TimeLimit(500);
    const begun = [{ at: 0, milliseconds: 500 }];
    let now = 0;
    for (const { milliseconds, pause } of changes) {
      now += pause;
      limit.replace(milliseconds, now);
      begun.push({ at: now, milliseconds });
      for (const { at, milliseconds } of begun) {
        if (now - at < milliseconds) assert.ok(limit.longestAt(now) > now - at);
      }
    }
    const last = begun.at(-1)!.milliseconds;
    assert.equal(limit.longestAt(now + 1_000), last);
  }));
});
