import assert from "node:assert/strict";
import { test } from "node:test";
import { applyCommand } from "../state/apply_command.ts";
import { decodeControlState } from "../state/decode_control_state.ts";
import { createEmptyControlState } from "../state/create_empty_control_state.ts";
import { encodeControlState } from "../state/encode_control_state.ts";

test("the highest version stays despite changes with a lower or equal one", () => {
  // Two operators send changes at the same time, and an old change arrives
  // again after a newer one. All are acknowledged, but reads must return the
  // newest one, and never different content of the same version.
  const state = createEmptyControlState();
  const replace = (version: number, document: string, index: number) =>
    applyCommand(state, { kind: "replace-routing", version, document }, index);
  assert.equal(replace(4, "four", 1).accepted, true);
  assert.equal(replace(9, "nine", 2).accepted, true);
  assert.equal(replace(9, "another nine", 3).accepted, true);
  assert.equal(replace(4, "four", 4).accepted, true);
  assert.equal(state.routing?.document, "nine");
  assert.equal(state.routing?.index, 2);
});

test("the named weights version only increases, and is kept in snapshots", () => {
  const state = createEmptyControlState();
  const name = (version: number, index: number) =>
    applyCommand(
      state,
      { kind: "name-weights", model: "m", version, at: 5 },
      index,
    );
  name(3, 1);
  name(2, 2);
  applyCommand(
    state,
    { kind: "replace-routing", version: 1, document: "one" },
    3,
  );
  const restored = decodeControlState(
    encodeControlState(state, { withClaims: true }),
  );
  assert.deepEqual(restored.namedWeights.get("m"), {
    model: "m",
    version: 3,
    index: 1,
    at: 5,
  });
  assert.equal(restored.routing?.document, "one");
});
