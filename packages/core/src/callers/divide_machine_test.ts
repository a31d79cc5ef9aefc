import assert from "node:assert/strict";
import { test } from "node:test";
import { divideMachine } from "./divide_machine.ts";

const MACHINE_BYTES = 250_000_000;
const MAX_HEAD_BYTES = 65_536;
/** Connections that 300 hosts keep to a control host, as measured. */
const FOLLOWED_BY_300 = 1_382;

for (const servesCallers of [true, false]) {
  // Guards against a process without descriptors for what it opens itself.
  test(`callers and hosts leave descriptors, callers served: ${servesCallers}`, () => {
    const descriptors = 4_096;
    const { connections, hostConnections, sideConnections } = divideMachine({
      memoryBytes: MACHINE_BYTES,
      descriptors,
      servesCallers,
    });
    const taken = connections + hostConnections + 2 * sideConnections;
    assert.ok(taken <= 0.92 * descriptors, `${taken}`);
  });
}

// Guards against a bound that the hosts of a large system meet.
test("a control host has connections for all hosts that follow it", () => {
  const { hostConnections } = divideMachine({
    memoryBytes: MACHINE_BYTES,
    descriptors: 4_096,
    servesCallers: false,
  });
  assert.ok(hostConnections > FOLLOWED_BY_300);
});

// Guards against heads that are never ended, on each connection that is kept.
test("heads on all connections take less than half of the memory", () => {
  const { connections } = divideMachine({
    memoryBytes: MACHINE_BYTES,
    descriptors: 1_000_000,
    servesCallers: true,
  });
  assert.ok(connections * MAX_HEAD_BYTES < MACHINE_BYTES / 2);
});

// Guards against a share that leaves nothing on a machine of few megabytes.
test("a small control host has room for streams beyond the usual few", () => {
  const { hostStreams } = divideMachine({
    memoryBytes: 128_000_000,
    descriptors: 4_096,
    servesCallers: false,
  });
  assert.ok(hostStreams >= 100, `${hostStreams}`);
});
