import assert from "node:assert/strict";
import { test } from "node:test";
import { StartGate } from "./start_gate.ts";

const CONTROL = "10.1.0.1";
const GATEWAY = "10.1.0.9";

function openGate(isCurrent: () => boolean): StartGate {
  return new StartGate({
    startedAt: 1_000,
    isCurrent,
    controlIps: () => [CONTROL],
  });
}

// Guards against followers that delay the election they wait for.
test("only control hosts are admitted until this host is current", () => {
  let current = false;
  const gate = openGate(() => current);
  assert.equal(gate.admits(GATEWAY, 1_100), false);
  assert.equal(gate.admits(CONTROL, 1_100), true);
  current = true;
  assert.equal(gate.admits(GATEWAY, 1_200), true);
  current = false;
  assert.equal(gate.admits(GATEWAY, 1_300), true, "open for good");
});

// Guards against a host without a majority that rejects followers forever.
test("a host without a leader admits followers after a while", () => {
  const gate = openGate(() => false);
  assert.equal(gate.admits(GATEWAY, 2_400), false);
  assert.equal(gate.admits(GATEWAY, 2_600), true);
});
