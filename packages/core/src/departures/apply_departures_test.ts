import assert from "node:assert/strict";
import { test } from "node:test";
import { applyCommand } from "../state/apply_command.ts";
import type { CommandOf } from "../state/command_of.ts";
import { createEmptyControlState } from "../state/create_empty_control_state.ts";
import { decodeControlState } from "../state/decode_control_state.ts";
import { encodeControlState } from "../state/encode_control_state.ts";
import { isKept } from "./is_kept.ts";
import { LAST_SEQUENCE } from "./last_sequence.ts";
import { readDepartures } from "./read_departures.ts";

const MINUTE_MILLISECONDS = 60_000;
const MAX_ROWS = 8_192;

type Command = CommandOf<"record-departures">;

function createCommand(
  departures: Command["departures"],
  at = 5_000,
): Command {
  return { kind: "record-departures", departures, at };
}

const leaving = (sequence: number, bornAt = 1_000) => ({
  instance: "i-1",
  bornAt,
  sequence,
  state: "leaving" as const,
});
const gone = (bornAt?: number, instance = "i-1") => ({
  instance,
  bornAt,
  sequence: LAST_SEQUENCE,
  state: "gone" as const,
});

test("departures outlive a snapshot, and one without them can be read", () => {
  const state = createEmptyControlState();
  const answer = applyCommand(state, createCommand([gone(1_000)]), 7);
  assert.deepEqual(answer, { accepted: true, value: 7 });
  const bytes = encodeControlState(state, { withClaims: true });
  assert.deepEqual(decodeControlState(bytes).departures, state.departures);
  const { departures: _none, ...earlier } = JSON.parse(
    new TextDecoder().decode(bytes),
  );
  const text = new TextEncoder().encode(JSON.stringify(earlier));
  assert.equal(decodeControlState(text).departures.size, 0);
});

test("a server's last word stands, in whatever order the log has them", () => {
  const words = [leaving(5), gone(1_000), leaving(4), leaving(9)];
  for (let first = 0; first < words.length; first += 1) {
    const state = createEmptyControlState();
    const order = [...words.slice(first), ...words.slice(0, first)];
    order.forEach((word, index) =>
      applyCommand(state, createCommand([word]), index + 1)
    );
    assert.equal(state.departures.get("i-1")?.state, "gone");
  }
});

test("a later start's departure replaces that of its predecessor", () => {
  const state = createEmptyControlState();
  applyCommand(state, createCommand([gone(1_000), leaving(2, 9_000)]), 1);
  applyCommand(state, createCommand([gone(1_000)]), 2);
  assert.equal(state.departures.get("i-1")?.bornAt, 9_000);
});

// Guards against a leaving of an unknown start that is dropped, as the clock of
// the leader that took it is behind that of the one before.
test("the end of an unknown start replaces that it leaves, by any clock", () => {
  const state = createEmptyControlState();
  applyCommand(state, createCommand([leaving(5)], 9_000), 1);
  applyCommand(state, createCommand([gone()], 8_000), 2);
  assert.equal(state.departures.get("i-1")?.state, "gone");
});

test("departures are forgotten by age, and the oldest when there are many", () => {
  const state = createEmptyControlState();
  applyCommand(state, createCommand([gone(1, "old")], 0), 1);
  applyCommand(
    state,
    createCommand([gone(1, "young")], 4 * MINUTE_MILLISECONDS),
    2,
  );
  assert.deepEqual([...state.departures.keys()], ["old", "young"]);
  applyCommand(state, createCommand([], 6 * MINUTE_MILLISECONDS), 3);
  assert.deepEqual([...state.departures.keys()], ["young"]);
  for (let index = 0; index < MAX_ROWS; index += 1) {
    applyCommand(
      state,
      createCommand([gone(1, `i-${index}`)], 6 * MINUTE_MILLISECONDS),
      4 + index,
    );
  }
  assert.equal(state.departures.size, MAX_ROWS);
  assert.equal(state.departures.has("young"), false);
});

test("a departure that is told again is kept already, a later one is not", () => {
  const row = { ...leaving(5), at: 5_000 };
  assert.equal(isKept(undefined, row), false);
  assert.equal(isKept(row, row), true);
  assert.equal(isKept(row, leaving(6)), false);
  assert.equal(isKept(row, leaving(5, 2_000)), false);
  assert.equal(isKept(row, gone(1_000)), false);
  assert.equal(isKept({ ...gone(1_000), at: 0 }, leaving(9)), true);
  assert.equal(isKept({ ...gone(), at: 0 }, gone()), false);
});

test("departures are read from their commands only", () => {
  const encode = (command: unknown) =>
    new TextEncoder().encode(JSON.stringify(command));
  const command = createCommand([gone(1_000), gone(undefined, "i-2")]);
  assert.deepEqual(
    readDepartures(encode(command)).map(({ instance, at }) => [instance, at]),
    [["i-1", 5_000], ["i-2", 5_000]],
  );
  assert.deepEqual(
    readDepartures(encode({ kind: "record-departuresX", departures: [] })),
    [],
  );
  assert.deepEqual(readDepartures(new Uint8Array()), []);
  assert.deepEqual(readDepartures(encode({ kind: "claim" })), []);
});
