import assert from "node:assert/strict";
import { test } from "node:test";
import { NewsBudget } from "./news_budget.ts";

// Guards against a flood of reports that takes the bytes of everything else.
test("no more is told in a second than the budget allows", () => {
  const budget = new NewsBudget(10);
  assert.equal(budget.take(8, 0), 8);
  assert.equal(budget.take(8, 500), 2);
  assert.equal(budget.take(8, 999), 0);
  assert.equal(budget.take(8, 1_000), 8);
});
