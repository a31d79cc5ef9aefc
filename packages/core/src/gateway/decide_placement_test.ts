import assert from "node:assert/strict";
import { test } from "node:test";
import { BackendRecord } from "./backend_record.ts";
import { decidePlacement } from "./decide_placement.ts";
import type { EngineDefinition } from "./engine_definition.ts";
import type { Placement } from "./placement.ts";
import { SlotPressure } from "./slot_pressure.ts";

const ENGINE: EngineDefinition = {
  models: ["m"],
  slots: 16,
  contextTokens: 1_000_000,
  weightChunks: 48,
  weightChunkBytes: 49_152,
  stepMilliseconds: 6.73,
  stepPerRequestMilliseconds: 0.02,
  stepPerThousandTokensMilliseconds: 0.007,
  readTokensPerSecond: 30_600,
  stepsPerPass: 6,
  reportLagMilliseconds: 200,
};
const TARGET_MILLISECONDS = 400;
const HOLD_MILLISECONDS = 1_300;
/** Interval of arrivals that use seven tenths of 16 slots of 1.3 s each. */
const ARRIVAL_INTERVAL_MILLISECONDS = 116;

const ANNOUNCEMENT = {
  instance: "i",
  service: "s",
  address: "10.0.0.1:80",
  dataCentre: "here",
  slots: ENGINE.slots,
  state: "ready" as const,
  bornAt: 1,
  sequence: 1,
  coldMilliseconds: 0,
  models: [],
};

type QueuedRequest = { at: number; placement: Placement["kind"] };

/**
 * Simulates one engine with slots and a queue. The queue either serves timely
 * requests first, or all in order of arrival without refusing any.
 */
function simulateEngine(
  options: { arrivals: number[]; servesTimelyFirst: boolean },
) {
  const { arrivals, servesTimelyFirst } = options;
  const record = new BackendRecord();
  const pressure = new SlotPressure();
  const running: { endsAt: number }[] = [];
  const queue: QueuedRequest[] = [];
  const begun: { at: number; waited: number }[] = [];
  let refused = 0;
  const startQueued = (now: number) => {
    for (let at = running.length - 1; at >= 0; at -= 1) {
      if (running[at]!.endsAt > now) continue;
      running.splice(at, 1);
      record.inFlight -= 1;
      record.recordSlotHoldTime(HOLD_MILLISECONDS);
    }
    while (running.length < ENGINE.slots && queue.length > 0) {
      const timely = queue.findIndex(({ placement }) => placement === "timely");
      const at = servesTimelyFirst && timely >= 0 ? timely : 0;
      const next = queue.splice(at, 1)[0]!;
      running.push({ endsAt: now + HOLD_MILLISECONDS });
      begun.push({ at: next.at, waited: now - next.at });
      if (next.placement === "timely") record.timelyUnanswered -= 1;
      const load = { running: running.length, waiting: queue.length };
      record.recordReport({ ...load, slots: ENGINE.slots }, now);
    }
  };
  const last = arrivals.at(-1)! + 10_000;
  let next = 0;
  for (let now = 0; now < last; now += 5) {
    startQueued(now);
    while (next < arrivals.length && arrivals[next]! <= now) {
      next += 1;
      const { kind: placement, forecast } = decidePlacement({
        announcement: ANNOUNCEMENT,
        record,
      }, {
        engine: ENGINE,
        promptTokens: 960,
        targetLeftMilliseconds: TARGET_MILLISECONDS,
        slotPressure: pressure.share,
        now,
      });
      pressure.recordRequest(forecast!.requests >= ENGINE.slots);
      if (servesTimelyFirst && placement === "refused") {
        refused += 1;
        continue;
      }
      if (placement === "timely") record.timelyUnanswered += 1;
      record.inFlight += 1;
      queue.push({ at: now, placement });
      startQueued(now);
    }
  }
  return { begun, refused };
}

/** Share of the started requests that met the target, by arrival time. */
function share(begun: { at: number; waited: number }[], since: number): number {
  const asked = begun.filter(({ at }) => at >= since);
  const timely = asked.filter(({ waited }) => waited < TARGET_MILLISECONDS);
  return timely.length / asked.length;
}

// Hosts recover from an outage of two seconds. All requests refused meanwhile
// are retried at once, in addition to a load of seven tenths of the engine's
// capacity. Served in order of arrival, all requests were late for seconds.
test("a backlog does not make later requests late", () => {
  const arrivals = [
    ...Array.from({ length: 60 }, (_, index) => index * 5),
    ...Array.from(
      { length: 100 },
      (_, index) => 300 + index * ARRIVAL_INTERVAL_MILLISECONDS,
    ),
  ];
  const ordered = simulateEngine({ arrivals, servesTimelyFirst: true });
  const plain = simulateEngine({ arrivals, servesTimelyFirst: false });
  const timely = share(ordered.begun, 300);
  assert.ok(share(plain.begun, 300) < 0.5, `${share(plain.begun, 300)} plain`);
  assert.ok(timely > 0.85, `${timely} ordered`);
  assert.ok(ordered.refused < 50, `${ordered.refused} refused`);
});

test("late requests use spare capacity, and are refused without any", () => {
  const record = new BackendRecord();
  const place = (targetLeftMilliseconds: number, slotPressure = 0) =>
    decidePlacement({ announcement: ANNOUNCEMENT, record }, {
      engine: ENGINE,
      promptTokens: 960,
      targetLeftMilliseconds,
      slotPressure,
      now: 0,
    }).kind;
  assert.equal(place(400), "timely");
  assert.equal(place(-500), "late", "it spent its time on an earlier try");
  record.inFlight = ENGINE.slots + 9;
  record.timelyUnanswered = 9;
  assert.equal(place(400), "refused");
  record.timelyUnanswered = 1;
  assert.equal(place(400), "timely", "those that wait are late: it goes ahead");
  assert.equal(place(-500), "refused");
});

test("late requests get only free slots while timely ones have to wait", () => {
  const record = new BackendRecord();
  record.inFlight = ENGINE.slots + 2;
  const place = (slotPressure: number) =>
    decidePlacement({ announcement: ANNOUNCEMENT, record }, {
      engine: ENGINE,
      promptTokens: 960,
      targetLeftMilliseconds: -500,
      slotPressure,
      now: 0,
    }).kind;
  assert.equal(place(0), "late");
  assert.equal(place(0.9), "refused");
  record.inFlight = ENGINE.slots - 1;
  assert.equal(place(0.9), "late");
});
