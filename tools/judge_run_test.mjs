import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeRun } from "./judge_run.mjs";

test("only the tests that are named are passed over", () => {
  const run = { passed: [], failed: ["a", "a b"], knownRed: ["a"] };
  assert.equal(judgeRun(run).isGood, false);
  assert.equal(judgeRun({ ...run, failed: ["a"] }).isGood, true);
});

test("a known red test that passes, or is gone, fails the run", () => {
  const passes = judgeRun({ passed: ["a"], failed: [], knownRed: ["a"] });
  assert.equal(passes.isGood, false);
  assert.match(passes.lines[0], /passes/);
  const gone = judgeRun({ passed: [], failed: [], knownRed: ["a"] });
  assert.equal(gone.isGood, false);
  assert.match(gone.lines[0], /no such test/);
});

test("a run without known red tests fails with any failure", () => {
  assert.equal(
    judgeRun({ passed: ["a"], failed: [], knownRed: [] }).isGood,
    true,
  );
  assert.equal(
    judgeRun({ passed: [], failed: ["a"], knownRed: [] }).isGood,
    false,
  );
});

test("a test known to fail sometimes may pass, but has to be there", () => {
  const run = { passed: ["a"], failed: [], knownRed: ["a"] };
  assert.equal(judgeRun({ ...run, sometimesRed: ["a"] }).isGood, true);
  assert.equal(judgeRun(run).isGood, false);
  const gone = { ...run, passed: [], sometimesRed: ["a"] };
  assert.equal(judgeRun(gone).isGood, false);
  const other = { passed: [], failed: ["a", "b"], knownRed: ["a"] };
  assert.equal(judgeRun({ ...other, sometimesRed: ["a"] }).isGood, false);
});
