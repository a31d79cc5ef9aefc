import assert from "node:assert/strict";
import { test } from "node:test";
import { TimelineRing } from "./timeline_ring.ts";

test("an effect is never ordered before its cause, however far clocks differ", () => {
  // One host's clock is a minute behind. An event on it that follows a message
  // from another host must still be ordered after the message's cause.
  const ahead = new TimelineRing("ahead", 10);
  const behind = new TimelineRing("behind", 10);
  ahead.record(60_000, "cause", "");
  behind.observe(1_000, ahead.stampMessage(60_000));
  behind.record(1_001, "effect", "");
  ahead.observe(60_001, behind.stampMessage(1_002));
  ahead.record(60_001, "end", "");
  const merged = [...ahead.eventsSince(0), ...behind.eventsSince(0)].sort((
    one,
    other,
  ) => one.time - other.time || one.counter - other.counter);
  assert.deepEqual(merged.map(({ kind }) => kind), ["cause", "effect", "end"]);
});

test("a ring keeps only its latest events", () => {
  const ring = new TimelineRing("one", 5);
  for (let count = 1; count <= 40; count += 1) {
    ring.record(count, "event", String(count));
  }
  assert.deepEqual(
    ring.eventsSince(0).map(({ detail }) => detail),
    ["36", "37", "38", "39", "40"],
  );
});
