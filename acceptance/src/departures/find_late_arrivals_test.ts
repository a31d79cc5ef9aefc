import assert from "node:assert/strict";
import { test } from "node:test";
import { findLateArrivals } from "./find_late_arrivals.ts";
import type { HostSpan } from "./host_span.ts";

const SECOND = 1_000;

function countLate(at: number, spans: HostSpan[] = []): number {
  return findLateArrivals({
    controlHosts: ["control-0", "control-1", "control-2"],
    spans,
    acknowledgements: [{ server: "s", at: 10 * SECOND }],
    arrivals: [
      { server: "s", id: "a", gateway: "gateway-1", at },
      { server: "other", id: "b", gateway: "gateway-1", at },
    ],
  }).late.length;
}

function span(name: string, from: number, to = Infinity): HostSpan {
  return { name, from: from * SECOND, to: to * SECOND };
}

test("a request counts from the bound on, at the server that leaves", () => {
  assert.equal(countLate(11_999), 0);
  assert.equal(countLate(12_001), 1);
});

test("what a gateway out of touch sends on doesn't count", () => {
  const at = 14 * SECOND;
  assert.equal(countLate(at, [span("gateway-1", 10.5, 11.5)]), 0);
  assert.equal(countLate(at, [span("gateway-1", 10, 10.5)]), 1);
  assert.equal(countLate(at, [span("gateway-2", 12, 13)]), 1);
  assert.equal(countLate(at, [span("control-0", 12, 20)]), 0);
  assert.equal(countLate(at, [span("control-0", 1, 11.5)]), 0);
});

test("a control host that stays lost excuses nobody, two of three do", () => {
  const at = 14 * SECOND;
  assert.equal(countLate(at, [span("control-0", 10)]), 1);
  assert.equal(
    countLate(at, [span("control-0", 10), span("control-1", 10)]),
    0,
  );
});
