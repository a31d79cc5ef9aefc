import assert from "node:assert/strict";
import { test } from "node:test";
import { retryAfter } from "./retry_after.ts";

test("after an outage clients retry late in the first third of their patience", () => {
  // All hosts lost power and refuse all requests for two seconds while they
  // start. A client has one more try: it must not retry during the same outage,
  // and not all clients may retry at the same moment.
  const at = (random: number) =>
    retryAfter({ cause: "outage", patienceMilliseconds: 6_000, random });
  assert.ok(at(0) < 2_000 && at(0) > 1_800);
  assert.ok(at(0.99) > 1_200);
  assert.ok(at(0) - at(0.99) > 400);
});

test("clients of a busy service retry soon", () => {
  const busy = retryAfter({
    cause: "busy",
    patienceMilliseconds: 6_000,
    random: 0.5,
  });
  assert.ok(busy > 300 && busy < 800);
});

test("clients of overloaded engines retry when the overload may be over", () => {
  // After the last fault of an incident the engines are full for two seconds.
  // Refused clients retried after half a second, within the same two seconds,
  // were refused again, and had no attempt left.
  const at = (random: number) =>
    retryAfter({ cause: "overload", patienceMilliseconds: 6_000, random });
  assert.ok(at(0) < 2_000);
  assert.ok(at(0.99) > 1_200);
});
