import assert from "node:assert/strict";
import { test } from "node:test";
import { ConfigurationDay } from "./configuration_day.ts";

const SEED = 7;
const ROUNDS = 1;

// Guards against a configuration that was confirmed and is not in force in time,
// comes back older or isn't served, and against an invalid one that is taken.
test("a confirmed configuration stays in force on a day of lost hosts", async () => {
  const day = await new ConfigurationDay(SEED).run(ROUNDS);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
