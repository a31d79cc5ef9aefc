import assert from "node:assert/strict";
import { test } from "node:test";
import { PartDay } from "../part_day.ts";

/** A harmful part between common ones. */
const SEED = 1;

// Guards against a harmful part that goes on ending engines while two of four
// gateways are away.
test("a harmful part is refused though half of the gateways are away", async () => {
  const day = await new PartDay(SEED, {
    absences: [{
      behindCrash: 2,
      delay: 0,
      gateways: 2,
      milliseconds: 8_000,
      how: "killed",
    }],
  }).run();
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});

// Guards against a harmful part whose requests come in crowds, each of which ends
// many engines at one moment.
test("a harmful part is refused though its requests come in crowds", async () => {
  const day = await new PartDay(SEED, {
    crowds: { size: 10, intervalMilliseconds: 4_000 },
  }).run();
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
