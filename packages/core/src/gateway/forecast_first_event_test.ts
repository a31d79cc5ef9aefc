import assert from "node:assert/strict";
import { test } from "node:test";
import { BackendRecord } from "./backend_record.ts";
import type { EngineDefinition } from "./engine_definition.ts";
import { forecastFirstEvent } from "./forecast_first_event.ts";

const SLOTS = 16;
const ENGINE: EngineDefinition = {
  models: ["m"],
  slots: SLOTS,
  contextTokens: 300_000,
  weightChunks: 48,
  weightChunkBytes: 49_152,
  stepMilliseconds: 9,
  stepPerRequestMilliseconds: 0.02,
  stepPerThousandTokensMilliseconds: 0.03,
  readTokensPerSecond: 20_000,
  stepsPerPass: 5,
  reportLagMilliseconds: 200,
};

function forecast(record: BackendRecord) {
  return forecastFirstEvent({
    record,
    engine: ENGINE,
    slots: SLOTS,
    promptTokens: 1_000,
    now: 0,
  });
}

// Story: one more request is asked than an engine has slots, and six have not
// answered yet, five of which are being read. The seventh was refused, since
// seven turns would have made it late; it would have waited for one.
test("requests that have a slot are not waited for", () => {
  const record = new BackendRecord();
  record.inFlight = SLOTS + 1;
  record.timelyUnread = 6;
  const { slotMilliseconds } = forecast(record);
  assert.equal(slotMilliseconds, record.holdMilliseconds / SLOTS);
});

test("a free slot is not waited for", () => {
  const record = new BackendRecord();
  record.inFlight = SLOTS - 1;
  record.timelyUnread = 6;
  assert.equal(forecast(record).slotMilliseconds, 0);
});

test("late requests in the queue are gone ahead of", () => {
  const record = new BackendRecord();
  record.inFlight = SLOTS + 8;
  record.timelyUnread = 1;
  const { slotMilliseconds } = forecast(record);
  assert.equal(slotMilliseconds, record.holdMilliseconds / SLOTS);
});

test("prompts that other hosts sent are read ahead of it, too", () => {
  const record = new BackendRecord();
  record.usualUnreadTokens = 200;
  record.takeReport({ running: 10, waiting: 0, slots: SLOTS }, 0);
  const alone = forecast(new BackendRecord()).readingMilliseconds;
  assert.equal(forecast(record).readingMilliseconds, alone + 100);
});
