import assert from "node:assert/strict";
import { test } from "node:test";
import { playEndingDay } from "./play_ending_day.ts";

const PARTS_SEED = 1;
const REQUESTS_SEED = 6;

// Guards against a harmful part that crashes server after server as each is
// back before anybody looks.
test("a harmful part is refused though servers are back at once", async () => {
  const day = await playEndingDay(PARTS_SEED);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});

// Guards against a harmful request that crashes server after server as their
// ports go on answering.
test("a harmful request is refused though ports of servers that ended answer", async () => {
  const day = await playEndingDay(REQUESTS_SEED);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
