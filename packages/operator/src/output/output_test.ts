import assert from "node:assert/strict";
import { test } from "node:test";
import { describeDifference } from "./describe_difference.ts";
import { describeStanding } from "./describe_standing.ts";
import { formatTable } from "./format_table.ts";
import { suggestName } from "./suggest_name.ts";

test("tables line up and no line passes 80 columns", () => {
  const text = formatTable(["NAME", "VALUE"], [
    ["short", 1],
    ["longer name", "x".repeat(100)],
  ]);
  const lines = text.split("\n");
  assert.equal(lines[0], "NAME         VALUE");
  assert.equal(lines[1], "short        1");
  assert.ok(lines.every((line) => line.length <= 80));
});

test("a mistyped name gets the nearest known one, a strange one none", () => {
  const known = ["contract create", "contract change", "status"];
  assert.equal(suggestName("contract chnage", known), "contract change");
  assert.equal(suggestName("stats", known), "status");
  assert.equal(suggestName("something else", known), undefined);
});

test("a difference shows old and new, and only what changes", () => {
  assert.deepEqual(
    describeDifference({ rate: 5, burst: 2 }, { rate: 6, burst: 2 }),
    ["  rate: 5 -> 6"],
  );
  assert.deepEqual(describeDifference(undefined, { rate: 6 }), ["  rate: 6"]);
});

test("what stands is shown without the system's own fields", () => {
  assert.deepEqual(describeStanding({ number: 2, history: [1] }), [
    "stands now:",
    "  number: 2",
  ]);
  assert.deepEqual(describeStanding(undefined), []);
});
