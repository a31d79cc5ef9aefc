import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../random/seeded_random.ts";
import { ForecastMargin } from "./forecast_margin.ts";

const ERRORS = 400;

// Pattern: lasting overload, where first events come 100 ms later than
// forecast on average, each by chance. Guards against letting in requests of
// which two in five will be late.
test("three in four errors are below the margin", () => {
  const random = seededRandom(7);
  const margin = new ForecastMargin();
  let below = 0;
  for (let index = 0; index < ERRORS; index += 1) {
    const error = 200 * random();
    if (error <= margin.milliseconds) below += 1;
    margin.note(error);
  }
  assert.ok(below > 0.65 * ERRORS && below < 0.85 * ERRORS, `${below}`);
});

// Guards against a margin that refuses what would be in time once the load is
// gone, and against one engine that hangs.
test("forecasts that hold leave no margin, and one that hangs hardly any", () => {
  const margin = new ForecastMargin();
  for (let index = 0; index < ERRORS; index += 1) margin.note(200);
  for (let index = 0; index < ERRORS; index += 1) margin.note(-20);
  assert.equal(margin.milliseconds, 0);
  margin.note(5_000);
  assert.ok(margin.milliseconds < 50);
});
