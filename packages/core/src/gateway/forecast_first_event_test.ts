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

// An engine has one request more than slots, and six requests have no response
// yet, five of which are being prefilled. A seventh was refused, because
// waiting for seven slots would have made it late; it had to wait for only one.
test("a request does not wait for requests that have a slot", () => {
  const record = new BackendRecord();
  record.inFlight = SLOTS + 1;
  record.timelyUnanswered = 6;
  const { slotWaitMilliseconds } = forecast(record);
  assert.equal(slotWaitMilliseconds, record.slotHoldMilliseconds / SLOTS);
});

test("there is no wait if a slot is free", () => {
  const record = new BackendRecord();
  record.inFlight = SLOTS - 1;
  record.timelyUnanswered = 6;
  assert.equal(forecast(record).slotWaitMilliseconds, 0);
});

test("a request goes ahead of late requests in the queue", () => {
  const record = new BackendRecord();
  record.inFlight = SLOTS + 8;
  record.timelyUnanswered = 1;
  const { slotWaitMilliseconds } = forecast(record);
  assert.equal(slotWaitMilliseconds, record.slotHoldMilliseconds / SLOTS);
});

test("pending prompts of other hosts count as well", () => {
  const record = new BackendRecord();
  record.meanPendingPromptTokens = 200;
  record.recordReport({ running: 10, waiting: 0, slots: SLOTS }, 0);
  const alone = forecast(new BackendRecord()).prefillMilliseconds;
  assert.equal(forecast(record).prefillMilliseconds, alone + 100);
});
