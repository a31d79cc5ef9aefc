import assert from "node:assert/strict";
import { test } from "node:test";
import { decideReadOn } from "./decide_read_on.ts";

const PACKET_REQUESTS = 330;

// Guards against a client that sends a packet of requests after the other, and
// reads no answer: what has arrived stays few.
test("requests behind each other are read few by few", () => {
  let unanswered = 0;
  while (decideReadOn(unanswered).next === "read") unanswered += 1;
  assert.deepEqual(decideReadOn(unanswered), { isHandled: true, next: "wait" });
  assert.equal(decideReadOn(unanswered + 1).isHandled, false);
  assert.equal(decideReadOn(unanswered + PACKET_REQUESTS).next, "close");
});

test("a client with some requests behind each other is read on", () => {
  for (const unanswered of [1, 8]) {
    const expected = { isHandled: true, next: "read" };
    assert.deepEqual(decideReadOn(unanswered), expected);
  }
});

// Guards against answers of megabytes that are prepared before their turn.
test("where answers are large one request is handled at once", () => {
  assert.deepEqual(decideReadOn(1, 1), { isHandled: true, next: "wait" });
  assert.deepEqual(decideReadOn(2, 1), { isHandled: false, next: "wait" });
});
