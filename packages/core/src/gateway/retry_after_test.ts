import assert from "node:assert/strict";
import { test } from "node:test";
import { retryAfter } from "./retry_after.ts";

test("behind an outage clients come back late, but within their third", () => {
  // Pattern: all hosts lost power and refuse everything for two seconds while
  // they start. A client has one try more; it must not come back into the
  // same outage, nor all clients in the same instant.
  const at = (random: number) =>
    retryAfter({ cause: "outage", patienceMilliseconds: 6_000, random });
  assert.ok(at(0) < 2_000 && at(0) > 1_800);
  assert.ok(at(0.99) > 1_200);
  assert.ok(at(0) - at(0.99) > 400);
});

test("where only room is missing they come back soon", () => {
  const busy = retryAfter({
    cause: "busy",
    patienceMilliseconds: 6_000,
    random: 0.5,
  });
  assert.ok(busy > 300 && busy < 800);
});

test("from overloaded engines they come back when it may be over", () => {
  // Pattern: behind a final fault the engines are full for two seconds. Those
  // refused came back after half a second, into the same two seconds, and were
  // refused for good.
  const at = (random: number) =>
    retryAfter({ cause: "overload", patienceMilliseconds: 6_000, random });
  assert.ok(at(0) < 2_000);
  assert.ok(at(0.99) > 1_200);
});
