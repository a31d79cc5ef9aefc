import assert from "node:assert/strict";
import { test } from "node:test";
import { NewsRateLimiter } from "./news_rate_limiter.ts";

// Guards against a flood of reports that uses up the bandwidth of all else.
test("no more updates per second are allowed than the limit", () => {
  const limiter = new NewsRateLimiter(10);
  assert.equal(limiter.take(8, 0), 8);
  assert.equal(limiter.take(8, 500), 2);
  assert.equal(limiter.take(8, 999), 0);
  assert.equal(limiter.take(8, 1_000), 8);
});
