import assert from "node:assert/strict";
import { test } from "node:test";
import { IncidentDay } from "./incident_day.ts";

const SEED = 1;

// Guards against protections that work only in isolation: gateways must refuse
// requests that crash engines and keep an engine's limit at the same time,
// while processes are killed or frozen and new weights are named.
test("ten gateways refuse crashing requests and keep limits on a day of incidents", async () => {
  const day = await new IncidentDay(SEED).run();
  console.log(JSON.stringify(day));
  assert.deepEqual(day.faults, []);
});
