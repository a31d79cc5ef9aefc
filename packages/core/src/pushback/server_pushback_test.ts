import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../random/create_seeded_random.ts";
import { PushbackTable } from "./pushback_table.ts";
import { ServerPushback } from "./server_pushback.ts";

const SLOTS = 16;
const SECOND_MILLISECONDS = 1_000;
const MINUTE_MILLISECONDS = 60 * SECOND_MILLISECONDS;
/** Time in which a host has to obey a pause. */
const REACTION_MILLISECONDS = 500;
const MAX_REQUESTS_IN_PAUSE = 2;
const STEP_MILLISECONDS = 10;
const RUN_MILLISECONDS = 20 * SECOND_MILLISECONDS;
const PROPERTY_RUNS = 200;

const createPushback = () => new ServerPushback(() => 0.5);

test("a pause keeps requests away until its end, and a little longer", () => {
  const pushback = createPushback();
  assert.equal(pushback.requestPause(3 * SECOND_MILLISECONDS, 0), "began");
  assert.equal(pushback.admits(1), false);
  assert.equal(pushback.admits(3 * SECOND_MILLISECONDS), false);
  assert.equal(pushback.millisecondsUntilOpen(3 * SECOND_MILLISECONDS), 375);
  assert.equal(pushback.admits(3_375), true);
});

test("a later answer lengthens a pause and never shortens it", () => {
  const pushback = createPushback();
  pushback.requestPause(5 * SECOND_MILLISECONDS, 0);
  assert.equal(pushback.requestPause(SECOND_MILLISECONDS, 1), "unchanged");
  assert.equal(pushback.admits(4 * SECOND_MILLISECONDS), false);
  assert.equal(
    pushback.requestPause(8 * SECOND_MILLISECONDS, 2 * SECOND_MILLISECONDS),
    "extended",
  );
  assert.equal(pushback.admits(9 * SECOND_MILLISECONDS), false);
});

test("after a pause requests return one by one, then twice as many with each answer", () => {
  const pushback = createPushback();
  pushback.requestPause(SECOND_MILLISECONDS, 0);
  const now = 2 * SECOND_MILLISECONDS;
  const first = pushback.countSend(SLOTS, now);
  assert.equal(pushback.admits(now), false, "a second one beside the first");
  assert.ok(pushback.millisecondsUntilOpen(now) > 0);
  first(true);
  const admitted = [];
  while (pushback.admits(now) && admitted.length < SLOTS) {
    admitted.push(pushback.countSend(SLOTS, now));
  }
  assert.equal(admitted.length, 2);
  for (const answered of admitted) answered(true);
  for (let count = 0; count < 8; count += 1) {
    pushback.countSend(SLOTS, now)(true);
  }
  assert.equal(pushback.isOver(now), true);
});

test("a failed attempt after a pause admits one more, not two", () => {
  const pushback = createPushback();
  pushback.requestPause(SECOND_MILLISECONDS, 0);
  const now = 2 * SECOND_MILLISECONDS;
  pushback.countSend(SLOTS, now)(false);
  pushback.countSend(SLOTS, now);
  assert.equal(pushback.admits(now), false);
});

test("an answer to a request from before a pause says nothing about its end", () => {
  const pushback = createPushback();
  const early = pushback.countSend(SLOTS, 0);
  pushback.requestPause(SECOND_MILLISECONDS, 0);
  early(true);
  pushback.countSend(SLOTS, 2 * SECOND_MILLISECONDS);
  assert.equal(pushback.admits(2 * SECOND_MILLISECONDS), false);
});

// Guards against a faulty backend server that takes itself out of service for
// good: no value counts for longer than its bound.
test("every value has a bounded meaning", () => {
  const pauseAfter = (value: number | "unreadable") => {
    const pushback = createPushback();
    pushback.requestPause(value, 0);
    return pushback.millisecondsUntilOpen(0);
  };
  assert.equal(pauseAfter(0), 0);
  assert.equal(pauseAfter("unreadable"), 1_125);
  assert.equal(pauseAfter(Infinity), 301_000);
  const pushback = createPushback();
  assert.equal(pushback.announceShutdown(0), "began");
  assert.equal(pushback.announceShutdown(1), "unchanged");
  assert.equal(pushback.millisecondsUntilOpen(MINUTE_MILLISECONDS), Infinity);
  const end = 15 * MINUTE_MILLISECONDS + 1;
  assert.equal(pushback.admits(end - 1), false);
  assert.equal(pushback.admits(end), true);
  pushback.countSend(SLOTS, end);
  assert.equal(pushback.admits(end), false, "one at a time then");
});

test("an incarnation begins without what another one asked for", () => {
  const table = new PushbackTable(() => 0.5);
  table.open("one@1").requestPause(SECOND_MILLISECONDS, 0);
  assert.equal(table.find("one@1")?.admits(0), false);
  assert.equal(table.find("one@2"), undefined);
  table.expire(MINUTE_MILLISECONDS);
  assert.equal(table.find("one@1"), undefined);
});

type Answer = { at: number; host: number; run: (host: SimulatedHost) => void };
type Arrival = { at: number; host: number; incarnation: string };
type Pause = Arrival & { endsAt: number };

type SimulatedHost = { startedAt: number; table: PushbackTable };

type Plan = {
  seed: number;
  hosts: number;
  /** Requests a second of each host. */
  perSecond: number;
  lossRate: number;
  /** Spells in which the server rejects requests, and the pauses it asks for. */
  spells: { at: number; lasts: number; seconds: number }[];
  restarts: { at: number; host: number | "server" }[];
};

const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  seed: fc.integer(),
  hosts: fc.integer({ min: 1, max: 12 }),
  perSecond: fc.integer({ min: 1, max: 60 }),
  lossRate: fc.constantFrom(0, 0, 0.1),
  spells: fc.array(
    fc.record({
      at: fc.integer({ min: 0, max: 14 * SECOND_MILLISECONDS }),
      lasts: fc.integer({ min: 50, max: 6 * SECOND_MILLISECONDS }),
      seconds: fc.constantFrom(0, 0.3, 1, 2.5, 3, 5),
    }),
    { minLength: 1, maxLength: 3 },
  ),
  restarts: fc.array(
    fc.record({
      at: fc.integer({ min: 0, max: RUN_MILLISECONDS }),
      host: fc.oneof(
        fc.integer({ min: 0, max: 11 }),
        fc.constant("server" as const),
      ),
    }),
    { maxLength: 4 },
  ),
});

/** Hosts that send to one backend server, over a network with random delays. */
class Schedule {
  readonly arrivals: Arrival[] = [];
  readonly pauses: Pause[] = [];
  #plan: Plan;
  #random: () => number;
  #hosts: SimulatedHost[];
  #requests: Arrival[] = [];
  #answers: Answer[] = [];
  #starts = 1;

  constructor(plan: Plan) {
    this.#plan = plan;
    this.#random = createSeededRandom(plan.seed);
    this.#hosts = Array.from({ length: plan.hosts }, () => this.#startHost(0));
  }

  run(): void {
    for (let now = 0; now < RUN_MILLISECONDS; now += STEP_MILLISECONDS) {
      this.#restart(now);
      this.#deliver(now);
      for (const host of this.#hosts.keys()) this.#send(host, now);
      for (const { table } of this.#hosts) table.expire(now);
    }
  }

  /** Whether a host was started anew in a span of time. */
  wasRestarted(host: number, from: number, to: number): boolean {
    return this.#plan.restarts.some((restart) =>
      restart.host === host && restart.at >= from - STEP_MILLISECONDS &&
      restart.at <= to
    );
  }

  #startHost(now: number): SimulatedHost {
    return { startedAt: now, table: new PushbackTable(this.#random) };
  }

  #restart(now: number): void {
    for (const { at, host } of this.#plan.restarts) {
      if (at < now || at >= now + STEP_MILLISECONDS) continue;
      if (host === "server") this.#starts += 1;
      else if (host < this.#hosts.length) {
        this.#hosts[host] = this.#startHost(now);
      }
    }
  }

  #delay(): number {
    return 2 + 60 * this.#random();
  }

  #send(host: number, now: number): void {
    const chance = this.#plan.perSecond * STEP_MILLISECONDS /
      SECOND_MILLISECONDS;
    if (this.#random() >= chance) return;
    const incarnation = `one@${this.#starts}`;
    const pushback = this.#hosts[host]!.table.find(incarnation);
    if (pushback?.admits(now) === false) return;
    const settle = pushback?.countSend(SLOTS, now) ?? (() => undefined);
    const at = now + this.#delay();
    if (this.#random() < this.#plan.lossRate) return settle(false);
    this.#requests.push({ at, host, incarnation });
    this.#settles.set(this.#requests.at(-1)!, settle);
  }

  #settles = new Map<Arrival, (isAnswered: boolean) => void>();

  #deliver(now: number): void {
    const requests = this.#requests.filter(({ at }) => at <= now);
    this.#requests = this.#requests.filter(({ at }) => at > now);
    for (const arrival of requests) this.#answer(arrival);
    const answers = this.#answers.filter(({ at }) => at <= now);
    this.#answers = this.#answers.filter(({ at }) => at > now);
    for (const { host, run } of answers) run(this.#hosts[host]!);
  }

  #answer(arrival: Arrival): void {
    const { at, host, incarnation } = arrival;
    const settle = this.#settles.get(arrival)!;
    this.#settles.delete(arrival);
    // A request to a process that has ended breaks.
    if (incarnation !== `one@${this.#starts}`) return settle(false);
    this.arrivals.push(arrival);
    const spell = this.#plan.spells.find((candidate) =>
      at >= candidate.at && at < candidate.at + candidate.lasts
    );
    const sender = this.#hosts[host]!;
    const answerAt = at + this.#delay();
    if (spell === undefined) {
      this.#answers.push({ at: answerAt, host, run: () => settle(true) });
      return;
    }
    const milliseconds = spell.seconds * SECOND_MILLISECONDS;
    this.pauses.push({ ...arrival, endsAt: at + milliseconds });
    this.#answers.push({
      at: answerAt,
      host,
      run: (receiver) => {
        settle(false);
        if (receiver !== sender) return;
        receiver.table.open(incarnation).requestPause(milliseconds, answerAt);
      },
    });
  }
}

// Guards against hosts that send more requests than allowed before the end of a
// pause, whatever the order of answers, losses and restarts.
test("under random schedules a pause is kept, and the server is used again", () => {
  fc.assert(
    fc.property(planArbitrary, (plan) => {
      const schedule = new Schedule(plan);
      schedule.run();
      for (const { at, host, incarnation, endsAt } of schedule.pauses) {
        if (schedule.wasRestarted(host, at, endsAt)) continue;
        const unwanted = schedule.arrivals.filter((arrival) =>
          arrival.host === host && arrival.incarnation === incarnation &&
          arrival.at > at + REACTION_MILLISECONDS && arrival.at < endsAt
        );
        assert.ok(
          unwanted.length <= MAX_REQUESTS_IN_PAUSE,
          `${unwanted.length}`,
        );
      }
      const lastEnd = Math.max(
        0,
        ...schedule.pauses.map(({ endsAt }) => endsAt),
      );
      const returned = schedule.arrivals.some(({ at }) => at > lastEnd);
      const hasTime = lastEnd + 4 * SECOND_MILLISECONDS < RUN_MILLISECONDS;
      assert.ok(!hasTime || returned, "the server is starved");
    }),
    { numRuns: PROPERTY_RUNS, seed: 38 },
  );
});

// Guards against all hosts that return at the same moment after a pause that all
// of them were asked for together.
test("many hosts return one request each, spread over a quarter of the pause", () => {
  const hosts = 100;
  const random = createSeededRandom(1);
  const table = new PushbackTable(random);
  const returns = Array.from({ length: hosts }, (_, host) => {
    const pushback = table.open(`host-${host}`);
    pushback.requestPause(4 * SECOND_MILLISECONDS, 0);
    return pushback.millisecondsUntilOpen(0);
  });
  const fullest = Math.max(
    ...returns.map((start) =>
      returns.filter((at) => at >= start && at < start + 100).length
    ),
  );
  // An even spread over 1 s puts ten into each 100 ms.
  assert.ok(fullest <= 25, `${fullest} of ${hosts} within 100 ms`);
});
