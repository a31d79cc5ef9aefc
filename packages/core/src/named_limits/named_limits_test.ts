import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DueNewsSelector } from "../news/due_news_selector.ts";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { LimitDivision } from "./limit_division.ts";
import { LimitPartBucket } from "./limit_part_bucket.ts";

const STEP_MILLISECONDS = 10;
const REPORT_MILLISECONDS = 250;
const ASSIGN_MILLISECONDS = 150;
const WINDOW_MILLISECONDS = 4_000;
const RUN_MILLISECONDS = 24_000;
/**
 * Time from when the limit is first announced until the hosts together must
 * keep to it.
 */
const STARTUP_MILLISECONDS = 3_000;
const DUE_NEWS_OPTIONS = { refreshMilliseconds: 1_000, maxPerSecond: 55 };
const INCARNATION = "one@1";
const SURGE_FACTOR = 100;
const MOVE_MILLISECONDS = 2_000;
const PROPERTY_RUNS = 60;
const SEED_COUNT = 20;

type Host = {
  name: string;
  bucket: LimitPartBucket;
  /** Parts that the control host assigned to this host lately. */
  due: DueNewsSelector;
  /** Requests a second that this host would send to the backend server. */
  demand: number;
  disconnectedUntil: number;
  sent: number[];
};

type Plan = {
  seed: number;
  perSecond: number;
  demands: number[];
  /** Whether all hosts get 100 times as many requests in the second half. */
  jumps: boolean;
  /** Whether the traffic moves from host to host. */
  moves: boolean;
  /** Fraction of the messages that is lost, from 0 to 1. */
  lossRate: number;
  faults: { at: number; kind: "cut" | "restart" | "control"; host: number }[];
};

/**
 * Simulates hosts that share a limit, on a network that delays and drops
 * messages and disconnects hosts.
 */
class Schedule {
  readonly hosts: Host[];
  #plan: Plan;
  #now = 0;
  #division = new LimitDivision();
  #messages: { at: number; run: () => void }[] = [];
  #random: () => number;

  constructor(plan: Plan) {
    this.#plan = plan;
    this.#random = createSeededRandom(plan.seed);
    this.hosts = plan.demands.map((demand, index) => ({
      name: `host-${index}`,
      bucket: new LimitPartBucket(plan.perSecond, 0, this.#random),
      due: new DueNewsSelector(DUE_NEWS_OPTIONS),
      demand,
      disconnectedUntil: -1,
      sent: [],
    }));
  }

  run(): void {
    for (; this.#now < RUN_MILLISECONDS; this.#now += STEP_MILLISECONDS) {
      if (this.#plan.jumps && this.#now === RUN_MILLISECONDS / 2) this.#surge();
      this.#injectFaults();
      if (this.#plan.moves && this.#now % MOVE_MILLISECONDS === 0) this.#move();
      this.#deliver();
      for (const [index, host] of this.hosts.entries()) {
        this.#simulateArrival(host);
        if (this.#now % REPORT_MILLISECONDS === index * 20 % 240) {
          this.#report(host);
        }
      }
      if (this.#now % ASSIGN_MILLISECONDS === 0) this.#assignParts();
    }
  }

  #surge(): void {
    for (const host of this.hosts) host.demand *= SURGE_FACTOR;
  }

  /** Gives each host the traffic of the next one. */
  #move(): void {
    const demands = this.hosts.map((host) => host.demand);
    for (const [index, host] of this.hosts.entries()) {
      host.demand = demands[(index + 1) % demands.length]!;
    }
  }

  #injectFaults(): void {
    for (const { at, kind, host } of this.#plan.faults) {
      if (at !== this.#now) continue;
      const faulty = this.hosts[host % this.hosts.length]!;
      if (kind === "cut") faulty.disconnectedUntil = this.#now + 4_000;
      if (kind === "control") this.#division = new LimitDivision();
      if (kind === "restart") {
        faulty.bucket = new LimitPartBucket(
          this.#plan.perSecond,
          this.#now,
          this.#random,
        );
      }
    }
  }

  #simulateArrival(host: Host): void {
    const chance = host.demand * STEP_MILLISECONDS / 1_000;
    if (this.#random() >= chance) return;
    host.bucket.recordDemand(this.#now);
    if (!host.bucket.admit(this.#now)) return;
    host.bucket.take(this.#now);
    host.sent.push(this.#now);
  }

  #report(host: Host): void {
    const perSecond = host.bucket.demandPerSecond(this.#now);
    this.#send(host, () => {
      const limit = {
        incarnation: INCARNATION,
        perSecond: this.#plan.perSecond,
        announcedAt: this.#now,
      };
      this.#division.recordLimit(limit, this.#now);
      const report = { host: host.name, perSecond };
      this.#division.recordDemand(INCARNATION, report, this.#now);
    });
  }

  #assignParts(): void {
    for (const host of this.hosts) {
      const [assigned] = this.#division.computeParts(host.name, this.#now);
      if (assigned === undefined) continue;
      const item = { key: INCARNATION, value: assigned.part };
      if (host.due.select([item], this.#now).length === 0) continue;
      this.#send(host, () => host.bucket.assignPart(assigned.part, this.#now));
    }
  }

  #send(host: Host, run: () => void): void {
    if (this.#now < host.disconnectedUntil) return;
    if (this.#random() < this.#plan.lossRate) return;
    const at = this.#now + 5 + this.#random() * 120;
    this.#messages.push({ at, run });
  }

  #deliver(): void {
    const due = this.#messages.filter(({ at }) => at <= this.#now);
    this.#messages = this.#messages.filter(({ at }) => at > this.#now);
    for (const { run } of due) run();
  }

  /**
   * Most requests that the hosts sent together in any window that ends after
   * `STARTUP_MILLISECONDS`.
   */
  maxSentInWindow(isCounted: (host: Host) => boolean): number {
    const sent = this.hosts.filter(isCounted)
      .flatMap((host) => host.sent)
      .sort((left, right) => left - right);
    return Math.max(
      0,
      ...sent.map((end) =>
        end < STARTUP_MILLISECONDS
          ? 0
          : sent.filter((at) => at <= end && at > end - WINDOW_MILLISECONDS)
            .length
      ),
    );
  }

  /** Requests sent a second in the second half. */
  get secondHalfRate(): number {
    const half = RUN_MILLISECONDS / 2;
    const sent = this.hosts.flatMap((host) => host.sent)
      .filter((at) => at >= half);
    return sent.length * 1_000 / half;
  }
}

function maxAllowed(perSecond: number): number {
  return 1.5 * perSecond * WINDOW_MILLISECONDS / 1_000 + 5;
}

function simulate(plan: Partial<Plan>): Schedule {
  const schedule = new Schedule({
    seed: 1,
    perSecond: 2,
    demands: [],
    jumps: false,
    moves: false,
    lossRate: 0,
    faults: [],
    ...plan,
  });
  schedule.run();
  return schedule;
}

function meanSecondHalfRate(plan: Partial<Plan>): number {
  let sum = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    sum += simulate({ ...plan, seed }).secondHalfRate;
  }
  return sum / SEED_COUNT;
}

// Guards against hosts that together exceed a limit while parts change.
// Messages are delayed and lost, hosts disconnect and restart.
test("the limit holds over all hosts, whatever is late, lost or restarted", () => {
  const fault = fc.record({
    at: fc.integer({ min: 300, max: 2_300 }).map((at) => at * 10),
    kind: fc.constantFrom("cut" as const, "restart" as const, "control"),
    host: fc.nat({ max: 9 }),
  });
  const plan = fc.record({
    seed: fc.nat({ max: 2 ** 30 }),
    perSecond: fc.double({ min: 0.2, max: 40, noNaN: true }),
    demands: fc.array(fc.double({ min: 0, max: 60, noNaN: true }), {
      minLength: 1,
      maxLength: 10,
    }),
    moves: fc.boolean(),
    jumps: fc.boolean(),
    lossRate: fc.double({ min: 0, max: 0.1, noNaN: true }),
    faults: fc.array(fault, { maxLength: 4 }),
  });
  fc.assert(
    fc.property(plan, (drawn) => {
      const schedule = simulate(drawn as Plan);
      const faulty = new Set(
        drawn.faults.filter(({ kind }) => kind !== "control")
          .map(({ host }) => `host-${host % drawn.demands.length}`),
      );
      // Hosts that were cut off or restarted may exceed it, the others may not.
      const most = schedule.maxSentInWindow(({ name }) => !faulty.has(name));
      assert.ok(most <= maxAllowed(drawn.perSecond), `${most} in 4 s`);
    }),
    { numRuns: PROPERTY_RUNS },
  );
});

test("one busy host among idle ones gets nearly all of the limit", () => {
  const idle = Array.from({ length: 9 }, () => 0.02);
  for (let seed = 1; seed <= 10; seed += 1) {
    const { secondHalfRate } = simulate({
      seed,
      perSecond: 3,
      demands: [12, ...idle],
    });
    assert.ok(
      secondHalfRate >= 0.75 * 3,
      `seed ${seed}: ${secondHalfRate} a second`,
    );
  }
});

// Guards against a limit below one request a second that starves all hosts.
test("parts below one request starve neither the backend server nor a host", () => {
  const demands = Array.from({ length: 10 }, () => 3);
  const rate = meanSecondHalfRate({ perSecond: 0.8, demands });
  assert.ok(rate >= 0.6 * 0.8, `${rate} a second`);
});

// Guards against a part of 0 for every host that had no request lately.
test("infrequent requests at many hosts can use most of the limit", () => {
  const demands = Array.from({ length: 10 }, () => 0.5);
  const rate = meanSecondHalfRate({ perSecond: 2, demands });
  assert.ok(rate >= 0.6 * 2, `${rate} a second`);
});

test("a limit above the demand rejects few requests", () => {
  const demands = Array.from({ length: 10 }, () => 0.1);
  const rate = meanSecondHalfRate({ perSecond: 3, demands });
  assert.ok(rate >= 0.6, `${rate} a second of 1 that is wanted`);
});

// Guards against all hosts sending a saved-up request at the same moment.
test("the limit holds when traffic rises at all hosts at once", () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const demands = Array.from({ length: 10 }, () => 0.05);
    const schedule = simulate({ seed, perSecond: 1, demands, jumps: true });
    const most = schedule.maxSentInWindow(() => true);
    assert.ok(most <= maxAllowed(1), `seed ${seed}: ${most} in 4 s`);
  }
});

test("a host that reports no demand for a while loses its part", () => {
  const division = new LimitDivision();
  const limit = { incarnation: INCARNATION, perSecond: 2, announcedAt: 0 };
  division.recordLimit(limit, 0);
  division.recordDemand(INCARNATION, { host: "a", perSecond: 5 }, 0);
  division.recordDemand(INCARNATION, { host: "b", perSecond: 5 }, 0);
  assert.equal(division.computeParts("a", 100)[0]!.part, 0.5);
  division.recordDemand(INCARNATION, { host: "a", perSecond: 5 }, 3_000);
  assert.equal(division.computeParts("a", 3_000)[0]!.part, 1);
});

test("the latest announcement applies, in whatever order they arrive", () => {
  const division = new LimitDivision();
  const announce = (perSecond: number | undefined, announcedAt: number) =>
    division.recordLimit(
      { incarnation: INCARNATION, perSecond, announcedAt },
      100,
    );
  assert.equal(announce(2, 10), true);
  assert.equal(announce(undefined, 30), true);
  assert.equal(announce(2, 20), false);
  const [assigned] = division.computeParts("a", 100);
  assert.equal(assigned!.limit.perSecond, undefined);
});

test("a part shrinks at once, and grows after the others had time to shrink", () => {
  const bucket = new LimitPartBucket(10, 0, createSeededRandom(1));
  bucket.assignPart(0.5, 0);
  bucket.assignPart(0.2, 100);
  assert.equal(bucket.part(100), 0.2);
  bucket.assignPart(0.8, 200);
  assert.equal(bucket.part(200), 0.2);
  bucket.assignPart(0.8, 1_201);
  assert.equal(bucket.part(1_201), 0.8);
});
