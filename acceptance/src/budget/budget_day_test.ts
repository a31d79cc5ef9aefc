import assert from "node:assert/strict";
import { test } from "node:test";
import { BudgetDay } from "./budget_day.ts";
import { drawSlowEngineTerms } from "./draw_slow_engine_terms.ts";

const SEED = 1;
const MILLISECONDS = 16_000;

// Guards against more repeats of one service than its own requests allow, beside
// servers that fail and gateways that are started again and again.
test("repeats stay within the budget of their service on a day of troubles", async () => {
  const day = await new BudgetDay(SEED).run(MILLISECONDS);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});

// Guards against repeats that come all at once, late or with too much time, as
// many requests wait for the first byte of a server that ends.
test("repeats stay within their budget beside servers that begin late", async () => {
  const terms = { ...drawSlowEngineTerms(SEED), harms: [] };
  const day = await new BudgetDay(SEED, undefined, terms).run(MILLISECONDS);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
