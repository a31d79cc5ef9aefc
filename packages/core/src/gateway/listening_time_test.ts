import assert from "node:assert/strict";
import { test } from "node:test";
import { BackendRecord } from "./backend_record.ts";
import { ListeningTime } from "./listening_time.ts";

// Guards against a host that stood still, and reads nothing meanwhile, taking
// all its backend servers for silent once it goes on.
test("a stall of the listener is no silence of the backend servers", () => {
  const listening = new ListeningTime();
  const record = new BackendRecord(listening);
  listening.observe(0);
  record.beginRequest(0);
  for (let now = 200; now <= 600; now += 200) listening.observe(now);
  assert.equal(record.isSilent(600), false);
  listening.observe(2_600);
  assert.equal(record.isSilent(2_600), false, "just after the stall");
  for (let now = 2_800; now <= 3_400; now += 200) listening.observe(now);
  assert.equal(record.isSilent(3_400), true, "0.8 s after the stall");
});

test("the time without anything to observe is no stall", () => {
  const listening = new ListeningTime();
  listening.observe(0);
  listening.suspend();
  listening.observe(5_000);
  assert.equal(listening.since, -Infinity);
});
