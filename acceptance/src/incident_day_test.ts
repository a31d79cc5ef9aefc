import assert from "node:assert/strict";
import { test } from "node:test";
import { IncidentDay } from "./incident_day.ts";

const SEED = 1;

// Guards against crashing requests and named limits that hold one by one, and
// not beside each other and beside kills, freezes and a new version.
test("a day with ten gateways keeps to blames and limits", async () => {
  const day = await new IncidentDay(SEED).play();
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
