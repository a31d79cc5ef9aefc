import assert from "node:assert/strict";
import { test } from "node:test";
import { ColdFleet } from "./cold_fleet_fixture.ts";
import { COLD_FLEET } from "./cold_fleet_setup_fixture.ts";
import { disturbFleet } from "./disturb_fleet_fixture.ts";

const SEEDS = 100;
const MAX_REQUESTS =
  COLD_FLEET.coldStart.requestsPerSecond * COLD_FLEET.bound.overshoot +
  COLD_FLEET.bound.slack;
const SETTLING_MILLISECONDS = 9_000;
const FAULTS = 14;
const MAX_GAP_MILLISECONDS = 4_000;
const COLD_MILLISECONDS = 120_000;

// Guards against parts that add up to more than a cold server bears in some
// course of starts, ends, cuts and partitions that nobody thought of.
test("the bound holds in random courses of faults", () => {
  let most = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const fleet = new ColdFleet(seed);
    const count = 1 + Math.floor(30 * fleet.random());
    for (let index = 0; index < count; index += 1) fleet.start();
    fleet.run(SETTLING_MILLISECONDS);
    fleet.startServer(COLD_MILLISECONDS);
    const course: string[] = [];
    for (let fault = 0; fault < FAULTS; fault += 1) {
      course.push(`${fleet.time} ${disturbFleet(fleet)}`);
      const gap = MAX_GAP_MILLISECONDS * fleet.random();
      fleet.run(20 * Math.ceil(gap / 20));
      const { mostParts } = fleet;
      const said = `seed ${seed}: parts of ${mostParts}: ${course.join(", ")}`;
      assert.ok(mostParts <= COLD_FLEET.slots, said);
    }
    fleet.run(10_000);
    assert.ok(fleet.mostParts <= COLD_FLEET.slots, `seed ${seed}`);
    assert.ok(fleet.mostInOneSecond <= MAX_REQUESTS, `seed ${seed}`);
    most = Math.max(most, fleet.mostInOneSecond);
  }
  console.log(`${most} requests in the fullest second`);
});
