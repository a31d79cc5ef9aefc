import assert from "node:assert/strict";
import { test } from "node:test";
import { findSilentAt } from "./find_silent_at.ts";

const WORKING = { heardAt: 1_000, hasWorked: true, isDropped: false };
const NEW = { heardAt: 1_000, hasWorked: false, isDropped: false };

// Guards against calls that meet two losses of their connections and spend their
// time waiting for connections that carry nothing.
test("a stream on a connection that has worked is silent after two heartbeats", () => {
  assert.equal(findSilentAt({ heardAt: 1_000, connection: WORKING }), 1_800);
});

// Guards against new connections, one after the other, each given up before a
// busy host has set it up.
test("a connection that is being set up has more time", () => {
  assert.equal(findSilentAt({ heardAt: 1_000, connection: NEW }), 2_500);
  assert.equal(findSilentAt({ heardAt: 1_300, connection: NEW }), 2_800);
});

test("frames of other calls show that the connection works", () => {
  const connection = { ...WORKING, heardAt: 1_600 };
  assert.equal(findSilentAt({ heardAt: 1_000, connection }), 2_400);
});

// Guards against a call that waits for good on a stream that its agent has lost,
// while others on the same connection go on.
test("frames of other calls put it off for a while only", () => {
  const connection = { ...WORKING, heardAt: 9_000 };
  assert.equal(findSilentAt({ heardAt: 1_000, connection }), 2_500);
});

// Guards against calls that were sent on a silent connection and wait as long as
// those before them, though one of these has found it out.
test("a call sent on a connection that another finds silent does not wait", () => {
  const connection = { ...WORKING, isDropped: true };
  assert.equal(findSilentAt({ heardAt: 1_700, connection }), 1_800);
});
