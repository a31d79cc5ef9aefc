import assert from "node:assert/strict";
import { test } from "node:test";
import { LeavingDay } from "./leaving_day.ts";

const MILLISECONDS = 30_000;

// Guards against requests sent to a server long after its leaving was
// acknowledged, whichever control hosts are lost at whichever step of it.
test("no gateway in touch sends to a server that left, on a day of lost control hosts", async () => {
  const day = await new LeavingDay(1).run(MILLISECONDS);
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
