import assert from "node:assert/strict";
import { test } from "node:test";
import { TrialPermits } from "./trial_permits.ts";

const HOSTS = 390;
const MINUTE_MILLISECONDS = 60_000;

// Guards against a trial run at each of hundreds of gateways when a term ends.
test("of many hosts that ask at once, one is permitted a trial run", () => {
  const permits = new TrialPermits();
  const ask = (now: number) =>
    Array.from({ length: HOSTS }, () => permits.tryBegin("part:a", now))
      .filter(Boolean).length;
  assert.equal(ask(0), 1);
  assert.equal(ask(MINUTE_MILLISECONDS - 1), 0);
  assert.equal(ask(MINUTE_MILLISECONDS), 1);
  assert.equal(permits.tryBegin("part:b", 0), true, "of another blame");
});

test("the memory of trial runs is bounded, and the latest are kept", () => {
  const permits = new TrialPermits();
  for (let index = 0; index < 5_000; index += 1) {
    permits.record(`part:${index}`, 0);
  }
  assert.equal(permits.tryBegin("part:4999", 1), false);
  assert.equal(permits.tryBegin("part:0", 1), true);
});
