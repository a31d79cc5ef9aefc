import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import type { RetryBound } from "./retry_bound.ts";
import { RetryBudgets } from "./retry_budgets.ts";

const STEP_MILLISECONDS = 100;
const WINDOWS_PLAYED = 6;
/** Part of a window for which requests and retries may be under way. */
const UNDER_WAY_SHARE = 1 / 2;

type Event = { service: string; at: number };
type Schedule = {
  seed: number;
  bound: RetryBound;
  hosts: number;
  services: number;
  /** Chance of each host to be started anew, in each step. */
  startChance: number;
  /** Mean requests of each host in each step. */
  load: number;
  /** Windows from one without requests to the next. */
  period: number;
  /** Whether hosts spend nothing but in those. */
  savesForLulls: boolean;
  /** Chance that a host spends all that it has, in each step. */
  spendChance: number;
  /**
   * Part of the time under way that is the retries': they wait for a connection
   * to servers whose answers take long. The rest is the requests'.
   */
  retryDelayShare: number;
  /**
   * Windows from one in whose first half all retries wait alike, as the servers
   * are full, to the next; 0 if each waits on its own.
   */
  fullPeriod: number;
};

/** Plays hosts that save up what they can and spend it all at once. */
function play(schedule: Schedule): { sent: Event[]; repeats: Event[] } {
  const { bound, hosts, services } = schedule;
  const random = createSeededRandom(schedule.seed);
  const sent: Event[] = [];
  const repeats: Event[] = [];
  const start = (now: number) =>
    new RetryBudgets({ bound, countHosts: () => hosts, now });
  const running = Array.from({ length: hosts }, () => start(0));
  const maxDelay = bound.windowMilliseconds * UNDER_WAY_SHARE;
  const maxRetryDelay = maxDelay * schedule.retryDelayShare;
  const maxRequestDelay = maxDelay - maxRetryDelay;
  const retryDelay = (now: number) => {
    const { fullPeriod } = schedule;
    if (fullPeriod === 0) return maxRetryDelay * random();
    const isFull = (now / bound.windowMilliseconds) % fullPeriod < 1 / 2;
    return isFull ? maxRetryDelay : 0;
  };
  const weights = Array.from({ length: services }, () => random() ** 4);
  const end = WINDOWS_PLAYED * bound.windowMilliseconds;
  for (let now = 0; now < end; now += STEP_MILLISECONDS) {
    const window = Math.floor(now / bound.windowMilliseconds);
    const isLull = window % schedule.period === schedule.period - 1;
    for (const [index, budgets] of running.entries()) {
      if (random() < schedule.startChance) running[index] = start(now);
      budgets.observe(now);
      for (const [number, weight] of weights.entries()) {
        const service = `service-${number}`;
        const requests = Math.floor(
          isLull ? 0 : schedule.load * weight * 4 * random() + random(),
        );
        for (let request = 0; request < requests; request += 1) {
          sent.push({ service, at: now - maxRequestDelay * random() });
          budgets.countRequest(service, now, now);
        }
        const isSaving = schedule.savesForLulls && !isLull;
        if (isSaving || random() >= schedule.spendChance) continue;
        while (budgets.purseOf(service, now).trySpend(now)) {
          repeats.push({ service, at: now + retryDelay(now) });
        }
      }
    }
  }
  return { sent, repeats };
}

/** Largest excess of repeats over what is allowed in any window. */
function findExcess(
  { sent, repeats }: ReturnType<typeof play>,
  { ratio, slack, windowMilliseconds }: RetryBound,
): number {
  const services = new Set(repeats.map(({ service }) => service));
  const excesses = [...services].flatMap((service) => {
    const momentsOf = (events: Event[]) =>
      events.filter((event) => event.service === service)
        .map(({ at }) => at).sort((left, right) => left - right);
    const [requests, again] = [momentsOf(sent), momentsOf(repeats)];
    const countBefore = (moments: number[], at: number) => {
      let [low, high] = [0, moments.length];
      while (low < high) {
        const middle = (low + high) >> 1;
        if (moments[middle]! < at) low = middle + 1;
        else high = middle;
      }
      return low;
    };
    const count = (moments: number[], from: number) =>
      countBefore(moments, from + windowMilliseconds) -
      countBefore(moments, from);
    return again.map((from) => {
      const most = Math.max(
        count(requests, from),
        count(requests, from - windowMilliseconds / 2),
        count(requests, from - windowMilliseconds),
      );
      return count(again, from) - ratio * most - slack;
    });
  });
  return excesses.reduce((most, each) => Math.max(most, each), -Infinity);
}

/** All that is saved waits for half a window, and what follows doesn't. */
const WAITING: Schedule = {
  seed: 0,
  bound: { ratio: 0.01, slack: 102, windowMilliseconds: 2_000 },
  hosts: 1,
  services: 1,
  startChance: 0,
  load: 0,
  period: 2,
  savesForLulls: false,
  spendChance: 0.3,
  retryDelayShare: 1,
  fullPeriod: 2,
};

// Guards against hosts that each keep a bound which all of them share by what
// each has seen alone, since it alone has started.
test("repeats stay within ratio and slack for any hosts, services, loads and starts", () => {
  const schedule = fc.record({
    seed: fc.nat(),
    bound: fc.record({
      ratio: fc.constantFrom(0.01, 0.05, 0.2, 0.5, 1),
      slack: fc.constantFrom(0, 3, 20, 102),
      windowMilliseconds: fc.constantFrom(2_000, 5_000, 10_000),
    }),
    hosts: fc.constantFrom(1, 2, 4, 12, 40),
    services: fc.integer({ min: 1, max: 4 }),
    startChance: fc.constantFrom(0, 0.01, 0.1, 0.3),
    load: fc.constantFrom(0, 0.3, 2, 10),
    period: fc.constantFrom(2, 3, 9),
    savesForLulls: fc.boolean(),
    spendChance: fc.constantFrom(0.01, 0.05, 0.3, 1),
    retryDelayShare: fc.constantFrom(0, 0.5, 1),
    fullPeriod: fc.constantFrom(0, 1, 2, 3),
  });
  fc.assert(
    fc.property(schedule, (each) => {
      const excess = findExcess(play(each), each.bound);
      assert.ok(excess <= 0, `${excess} too many`);
    }),
    { numRuns: 240, examples: [[WAITING]] },
  );
});
