import assert from "node:assert/strict";
import { test } from "node:test";
import { BudgetDay } from "./budget_day.ts";

const SEED = 1;
const MILLISECONDS = 16_000;

// Guards against more repeats of one service than its own requests allow, beside
// servers that fail and gateways that are started again and again.
test("repeats stay within the budget of their service on a day of troubles", async () => {
  const day = await new BudgetDay(SEED).run(MILLISECONDS);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
