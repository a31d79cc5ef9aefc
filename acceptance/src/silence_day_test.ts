import assert from "node:assert/strict";
import { test } from "node:test";
import { SilenceDay } from "./silence_day.ts";

const SEED = 2;
const MILLISECONDS = 12_000;

// Guards against answers that are cut because a sound backend server falls
// silent for a while, beside planned and unplanned work.
test("silences of two seconds cost no answer on a day of ten gateways", async () => {
  const day = await new SilenceDay(SEED).run(MILLISECONDS);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
