import assert from "node:assert/strict";
import { test } from "node:test";
import { PushbackDay } from "./pushback_day.ts";

const SEED = 1;

// Guards against pushback that is obeyed only in isolation: pauses and shutdowns
// of engines overlap, while hosts are killed, frozen and cut off.
test("ten gateways obey pauses and shutdowns on a day of troubles", async () => {
  const day = await new PushbackDay(SEED).run();
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
