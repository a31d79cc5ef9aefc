import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { EventQueue } from "../overload/event_queue.ts";
import { capacityOf } from "./capacity_of.ts";
import { fleetPatterns } from "./fleet_patterns.ts";
import { FleetRun } from "./fleet_run.ts";
import { loadFleetSettings } from "./load_fleet_settings.ts";
import type { ModelledCall } from "./modelled_call.ts";
import { ModelledEngine } from "./modelled_engine.ts";

const settings = loadFleetSettings("examples/fleet-10x16.toml");

test("no engine ever runs more than its slots, and each call ends once", () => {
  const sizes = fc.array(
    fc.tuple(
      fc.integer({ min: 1, max: 3_000 }),
      fc.integer({ min: 1, max: 200 }),
      fc.integer({ min: 0, max: 9 }),
    ),
    { minLength: 1, maxLength: 60 },
  );
  fc.assert(fc.property(sizes, (calls) => {
    const events = new EventQueue();
    const { engine } = settings;
    const model = new ModelledEngine({ events, engine });
    let ends = 0;
    let taken = 0;
    for (const [unread, unwritten, rank] of calls) {
      const isTaken = model.take({
        call: {} as ModelledCall,
        rank,
        unread,
        unwritten,
        onEvent: () => assert.ok(model.running <= engine.slots),
        onEnd: () => ends += 1,
      });
      if (isTaken) taken += 1;
    }
    events.runUntil(10_000_000);
    assert.equal(ends, taken);
    assert.equal(model.running + model.waiting, 0);
  }));
});

test("every call of a run ends, whatever decides", () => {
  for (const policy of ["product", "naive", "knowing"]) {
    const pattern = { ...fleetPatterns.outage!, seconds: 11 };
    const run = new FleetRun({ settings, pattern, policy, seed: 5 });
    const figures = run.run();
    const { inTime, late, refused, left } = figures;
    assert.ok(figures.calls > 0);
    assert.ok(Math.abs(inTime + late + refused + left - 1) < 1e-9);
  }
});

test("below what the engines carry nearly all are in time", () => {
  assert.ok(capacityOf(settings) > 0);
  const pattern = { ...fleetPatterns["steady-0.8"]!, load: () => 0.5 };
  const run = new FleetRun({ settings, pattern, policy: "knowing", seed: 1 });
  assert.ok(run.run().inTime > 0.95);
});

test("the same seed plays the same run", () => {
  const play = () =>
    new FleetRun({
      settings,
      pattern: { ...fleetPatterns["steady-1.1"]!, seconds: 6 },
      policy: "product",
      seed: 9,
    }).run();
  assert.deepEqual(play(), play());
});
