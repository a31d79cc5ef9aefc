import assert from "node:assert/strict";
import { test } from "node:test";
import { PartDay } from "./part_day.ts";

const SEED = 1;

// Guards against a prompt part that crashes engine after engine as its requests
// are all distinct.
test("requests with a part that crashes engines are refused, and others are served", async () => {
  const day = await new PartDay(SEED).run();
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
