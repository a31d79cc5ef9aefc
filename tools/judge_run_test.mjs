import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeRun } from "./judge_run.mjs";

test("only failures of listed tests are ignored", () => {
  const run = { passed: [], failed: ["a", "a b"], knownRed: ["a"] };
  assert.equal(judgeRun(run).isGood, false);
  assert.equal(judgeRun({ ...run, failed: ["a"] }).isGood, true);
});

test("a listed test that passes or no longer exists fails the run", () => {
  const passes = judgeRun({ passed: ["a"], failed: [], knownRed: ["a"] });
  assert.equal(passes.isGood, false);
  assert.match(passes.lines[0], /passes/);
  const gone = judgeRun({ passed: [], failed: [], knownRed: ["a"] });
  assert.equal(gone.isGood, false);
  assert.match(gone.lines[0], /no such test/);
});

test("with an empty list, any failed test fails the run", () => {
  assert.equal(
    judgeRun({ passed: ["a"], failed: [], knownRed: [] }).isGood,
    true,
  );
  assert.equal(
    judgeRun({ passed: [], failed: ["a"], knownRed: [] }).isGood,
    false,
  );
});

test("a test that fails intermittently may pass but must exist", () => {
  const run = { passed: ["a"], failed: [], knownRed: ["a"] };
  assert.equal(judgeRun({ ...run, sometimesRed: ["a"] }).isGood, true);
  assert.equal(judgeRun(run).isGood, false);
  const gone = { ...run, passed: [], sometimesRed: ["a"] };
  assert.equal(judgeRun(gone).isGood, false);
  const other = { passed: [], failed: ["a", "b"], knownRed: ["a"] };
  assert.equal(judgeRun({ ...other, sometimesRed: ["a"] }).isGood, false);
});
