import assert from "node:assert/strict";
import { test } from "node:test";
import { IncidentDay } from "./incident_day.ts";

const SEED = 1;

// Guards against protections that work only in isolation: refusing requests that
// crash engines and keeping an engine's limit must also work at the same time,
// and during kills, freezes and a version change.
test("ten gateways refuse crashing requests and keep limits on a day of incidents", async () => {
  const day = await new IncidentDay(SEED).run();
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
