import assert from "node:assert/strict";
import { test } from "node:test";
import { ColdFleet } from "../cold/cold_fleet_fixture.ts";
import { disturbFleet } from "../cold/disturb_fleet_fixture.ts";
import type { SimulatedGateway } from "../cold/simulated_gateway_fixture.ts";
import { RetryBudgets } from "./retry_budgets.ts";

const SEEDS = 60;
const BOUND = { ratio: 0, slack: 90, windowMilliseconds: 10_000 };
const SERVICE = "writer";
const OBSERVE_MILLISECONDS = 500;
const SETTLING_MILLISECONDS = 9_000;
const FAULTS = 14;
const FAULT_GAP_MILLISECONDS = 4_000;
/** Retries wait for as long where the answers of servers take long. */
const MAX_DELAY_MILLISECONDS = BOUND.windowMilliseconds / 2;

/** Retries of gateways that save up what time earns, and spend it at once. */
class FleetRetries {
  readonly repeats: number[] = [];
  #fleet: ColdFleet;
  #budgets = new Map<SimulatedGateway, RetryBudgets>();
  #spendChance: number;

  constructor(fleet: ColdFleet) {
    this.#fleet = fleet;
    this.#spendChance = [0.02, 0.1, 1][Math.floor(3 * fleet.random())]!;
  }

  run(milliseconds: number): void {
    const until = this.#fleet.time + milliseconds;
    while (this.#fleet.time < until) {
      this.#fleet.run(OBSERVE_MILLISECONDS);
      const isSpent = this.#fleet.random() < this.#spendChance;
      for (const gateway of this.#fleet.gateways) {
        if (this.#fleet.time >= gateway.endsAt || gateway.isFrozen) continue;
        this.#observe(gateway, isSpent);
      }
    }
  }

  #observe(gateway: SimulatedGateway, isSpent: boolean): void {
    const { now } = gateway;
    const budgets = this.#budgets.get(gateway) ?? new RetryBudgets({
      bound: BOUND,
      countHosts: (at) => gateway.told.count(at),
      now,
    });
    this.#budgets.set(gateway, budgets);
    budgets.observe(now);
    while (isSpent && budgets.purseOf(SERVICE, now).trySpend(now)) {
      const delay = MAX_DELAY_MILLISECONDS * this.#fleet.random();
      this.repeats.push(this.#fleet.time + delay);
    }
  }

  /** Repeats in the fullest window. */
  get mostInOneWindow(): number {
    const sorted = this.repeats.toSorted((left, right) => left - right);
    let start = 0;
    let most = 0;
    for (const [index, at] of sorted.entries()) {
      while (at - sorted[start]! >= BOUND.windowMilliseconds) start += 1;
      most = Math.max(most, index - start + 1);
    }
    return most;
  }
}

// Guards against parts of the slack that add up to more than all of it while
// gateways start, end, are cut off and hear of each other late.
test("repeats stay within the slack in random courses of faults", () => {
  let most = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const fleet = new ColdFleet(seed);
    const retries = new FleetRetries(fleet);
    const count = 1 + Math.floor(30 * fleet.random());
    for (let index = 0; index < count; index += 1) fleet.start();
    retries.run(SETTLING_MILLISECONDS);
    const course: string[] = [];
    for (let fault = 0; fault < FAULTS; fault += 1) {
      course.push(`${fleet.time} ${disturbFleet(fleet)}`);
      retries.run(FAULT_GAP_MILLISECONDS * fleet.random());
    }
    retries.run(SETTLING_MILLISECONDS);
    const { mostInOneWindow } = retries;
    assert.ok(
      mostInOneWindow <= BOUND.slack,
      `seed ${seed}: ${mostInOneWindow}: ${course.join(", ")}`,
    );
    most = Math.max(most, mostInOneWindow);
  }
  console.log(`${most} repeats in the fullest window`);
});
