import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendChoice } from "./backend_choice.ts";
import { BackendRecord } from "./backend_record.ts";
import { chooseBackend } from "./choose_backend.ts";
import { noteUsualLoad } from "./note_usual_load.ts";

function openChoice(instance: string): BackendChoice {
  return {
    record: new BackendRecord(),
    standing: {
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

function choose(choices: BackendChoice[], now: number): string | undefined {
  noteUsualLoad(choices, now);
  return chooseBackend(choices, {
    dataCentre: "here",
    promptTokens: 1_000,
    home: new Set(),
    engine: undefined,
    random: () => 0.5,
    now,
  })?.standing.instance;
}

// Story: three hosts send to four engines. One engine is full of the other
// hosts' requests; this host sends it nothing, so it hears nothing from there.
// After 1.5 s that engine looked empty, and got all of this host's requests.
test("a full engine that was not heard lately does not look empty", () => {
  const engines = ["a", "b", "c", "d"].map(openChoice);
  const report = (running: number) => ({ running, waiting: 0, slots: 16 });
  engines[0]!.record.takeReport(report(16), 0);
  engines[1]!.record.takeReport(report(11), 2_000);
  engines[2]!.record.takeReport(report(10), 2_000);
  engines[3]!.record.takeReport(report(6), 2_000);
  assert.equal(choose(engines, 2_010), "d");
  // Nine tenths of the mean of those heard.
  assert.equal(Math.round(engines[0]!.record.estimateRequests(2_010)), 8);
});

// Story: a planned stop of two gateways leaves all requests to two others.
// These know the four engines that they have used, which are full; six more
// were not heard for seconds. Taken for full like the rest, none of the six got
// a request, none was heard, and every second request was refused for seconds.
test("an engine that was not heard lately is tried before others overflow", () => {
  const engines = ["a", "b", "c", "d"].map(openChoice);
  const report = (running: number) => ({ running, waiting: 1, slots: 16 });
  engines[0]!.record.takeReport(report(2), 0);
  for (const { record } of engines.slice(1)) {
    record.takeReport(report(16), 5_000);
  }
  assert.equal(choose(engines, 5_010), "a");
});

test("with nothing known of any, they look the same", () => {
  const engines = ["a", "b"].map(openChoice);
  engines[0]!.record.inFlight = 3;
  assert.equal(choose(engines, 0), "b");
});

test("an older report counts for less", () => {
  const engines = ["a", "b"].map(openChoice);
  engines[0]!.record.takeReport({ running: 0, waiting: 0, slots: 16 }, 0);
  engines[1]!.record.takeReport({ running: 8, waiting: 0, slots: 16 }, 1_000);
  choose(engines, 1_000);
  const requests = engines[0]!.record.estimateRequests(1_000);
  assert.ok(requests > 2 && requests < 8, `${requests}`);
});
