import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendCandidate } from "./backend_candidate.ts";
import { BackendRecord } from "./backend_record.ts";
import { chooseBackend } from "./choose_backend.ts";
import { updateAssumedLoad } from "./update_assumed_load.ts";

function createCandidate(instance: string): BackendCandidate {
  return {
    record: new BackendRecord(),
    announcement: {
      instance,
      service: "s",
      address: "10.0.0.1:80",
      dataCentre: "here",
      slots: 16,
      state: "ready",
      bornAt: 1,
      sequence: 1,
      coldMilliseconds: 0,
      models: [],
    },
  };
}

function choose(
  candidates: BackendCandidate[],
  now: number,
): string | undefined {
  updateAssumedLoad(candidates, now);
  return chooseBackend(candidates, {
    dataCentre: "here",
    promptTokens: 1_000,
    home: new Set(),
    engine: undefined,
    random: () => 0.5,
    now,
  })?.announcement.instance;
}

// Three hosts send to four engines. One engine is full of the other hosts'
// requests; this host sends no requests to it, and so gets no load reports from
// it. After 1.5 s that engine looked empty, and got all requests of this host.
test("a full engine without a recent load report does not look empty", () => {
  const engines = ["a", "b", "c", "d"].map(createCandidate);
  const report = (running: number) => ({ running, waiting: 0, slots: 16 });
  engines[0]!.record.recordReport(report(16), 0);
  engines[1]!.record.recordReport(report(11), 2_000);
  engines[2]!.record.recordReport(report(10), 2_000);
  engines[3]!.record.recordReport(report(6), 2_000);
  assert.equal(choose(engines, 2_010), "d");
  // Nine tenths of the mean of those with a recent report.
  assert.equal(Math.round(engines[0]!.record.estimateRequests(2_010)), 8);
});

// A planned stop of two gateways leaves all requests to two others. These have
// load reports from the four engines that they have used, which are full; six
// more have not reported for seconds. Because the six were assumed to be as
// full as the others, none of them got a request, none reported its load, and
// every second request was refused for seconds.
test("an engine without a recent report is tried if the others are full", () => {
  const engines = ["a", "b", "c", "d"].map(createCandidate);
  const report = (running: number) => ({ running, waiting: 1, slots: 16 });
  engines[0]!.record.recordReport(report(2), 0);
  for (const { record } of engines.slice(1)) {
    record.recordReport(report(16), 5_000);
  }
  assert.equal(choose(engines, 5_010), "a");
});

test("without any load reports the engine with fewer own requests is chosen", () => {
  const engines = ["a", "b"].map(createCandidate);
  engines[0]!.record.inFlight = 3;
  assert.equal(choose(engines, 0), "b");
});

test("an older load report counts less", () => {
  const engines = ["a", "b"].map(createCandidate);
  engines[0]!.record.recordReport({ running: 0, waiting: 0, slots: 16 }, 0);
  engines[1]!.record.recordReport({ running: 8, waiting: 0, slots: 16 }, 1_000);
  choose(engines, 1_000);
  const requests = engines[0]!.record.estimateRequests(1_000);
  assert.ok(requests > 2 && requests < 8, `${requests}`);
});
