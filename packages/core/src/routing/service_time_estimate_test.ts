import assert from "node:assert/strict";
import { test } from "node:test";
import { ServiceTimeEstimate } from "./service_time_estimate.ts";

const USUAL_MILLISECONDS = 60;

function learn(slots: number): ServiceTimeEstimate {
  const estimate = new ServiceTimeEstimate();
  for (let call = 0; call < 300; call += 1) {
    estimate.record(USUAL_MILLISECONDS, slots);
  }
  return estimate;
}

// Guards against calls that are refused behind a stall, though they would wait for
// a fraction of a second.
test("one stall of all running calls does not pass for slow calls", () => {
  for (const slots of [1, 8, 64]) {
    const estimate = learn(slots);
    for (let call = 0; call < slots; call += 1) estimate.record(1_900, slots);
    assert.ok(
      estimate.milliseconds < 3 * USUAL_MILLISECONDS,
      `${slots} slots: ${estimate.milliseconds} ms`,
    );
  }
});

// Guards against a queue that grows beyond what its calls can wait, as the server
// has become slow.
test("calls that have become slow are believed within four rounds", () => {
  for (const slots of [8, 64]) {
    const estimate = learn(slots);
    for (let call = 0; call < 4 * slots; call += 1) {
      estimate.record(10 * USUAL_MILLISECONDS, slots);
    }
    assert.ok(
      estimate.milliseconds > 5 * USUAL_MILLISECONDS,
      `${slots} slots: ${estimate.milliseconds} ms`,
    );
  }
});

test("the first calls count in full: nothing is known before", () => {
  const estimate = new ServiceTimeEstimate();
  for (let call = 0; call < 20; call += 1) estimate.record(5_000, 8);
  assert.ok(estimate.milliseconds > 3_000, `${estimate.milliseconds} ms`);
});
