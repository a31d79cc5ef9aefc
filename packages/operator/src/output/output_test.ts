import assert from "node:assert/strict";
import { test } from "node:test";
import { describeDifference } from "./describe_difference.ts";
import { describeCurrentState } from "./describe_current_state.ts";
import { formatTable } from "./format_table.ts";
import { suggestName } from "./suggest_name.ts";

test("table columns are aligned and lines have at most 80 characters", () => {
  const text = formatTable(["NAME", "VALUE"], [
    ["short", 1],
    ["longer name", "x".repeat(100)],
  ]);
  const lines = text.split("\n");
  assert.equal(lines[0], "NAME         VALUE");
  assert.equal(lines[1], "short        1");
  assert.ok(lines.every((line) => line.length <= 80));
});

test("only a name similar to a known one gets a suggestion", () => {
  const known = ["contract create", "contract change", "status"];
  assert.equal(suggestName("contract chnage", known), "contract change");
  assert.equal(suggestName("stats", known), "status");
  assert.equal(suggestName("something else", known), undefined);
});

test("a difference lists old and new values of changed fields only", () => {
  assert.deepEqual(
    describeDifference({ rate: 5, burst: 2 }, { rate: 6, burst: 2 }),
    ["  rate: 5 -> 6"],
  );
  assert.deepEqual(describeDifference(undefined, { rate: 6 }), ["  rate: 6"]);
});

test("the current state is shown without internal fields", () => {
  assert.deepEqual(describeCurrentState({ number: 2, history: [1] }), [
    "stands now:",
    "  number: 2",
  ]);
  assert.deepEqual(describeCurrentState(undefined), []);
});
