import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { DueNews } from "../news/due_news.ts";
import { seededRandom } from "../random/seeded_random.ts";
import { LimitDivision } from "./limit_division.ts";
import { LimitPart } from "./limit_part.ts";

const STEP_MILLISECONDS = 10;
const REPORT_MILLISECONDS = 250;
const TELL_MILLISECONDS = 150;
const WINDOW_MILLISECONDS = 4_000;
const DAY_MILLISECONDS = 24_000;
/** From the first naming until it has to hold; see the rule's own bound. */
const SETTLED_MILLISECONDS = 3_000;
const DUE = { restMilliseconds: 1_000, mostPerSecond: 55 };
const INCARNATION = "one@1";
const JUMP = 100;
const MOVE_MILLISECONDS = 2_000;
const RUNS = 60;
const SEEDS = 20;

type Host = {
  name: string;
  part: LimitPart;
  /** What control told it lately. */
  due: DueNews;
  /** Requests a second that would go to the backend server. */
  wants: number;
  cutUntil: number;
  sent: number[];
};

type Plan = {
  seed: number;
  perSecond: number;
  wants: number[];
  /** Whether all hosts get a hundred times as much in the second half. */
  jumps: boolean;
  /** Whether the traffic goes from host to host. */
  moves: boolean;
  /** Part of the messages that is lost. */
  lost: number;
  faults: { at: number; kind: "cut" | "restart" | "control"; host: number }[];
};

/** Hosts that share a limit, over a network that delays, drops and cuts. */
class Schedule {
  readonly hosts: Host[];
  #plan: Plan;
  #now = 0;
  #division = new LimitDivision();
  #messages: { at: number; run: () => void }[] = [];
  #random: () => number;

  constructor(plan: Plan) {
    this.#plan = plan;
    this.#random = seededRandom(plan.seed);
    this.hosts = plan.wants.map((wants, index) => ({
      name: `host-${index}`,
      part: new LimitPart(plan.perSecond, 0, this.#random),
      due: new DueNews(DUE),
      wants,
      cutUntil: -1,
      sent: [],
    }));
  }

  run(): void {
    for (; this.#now < DAY_MILLISECONDS; this.#now += STEP_MILLISECONDS) {
      if (this.#plan.jumps && this.#now === DAY_MILLISECONDS / 2) this.#jump();
      this.#strike();
      if (this.#plan.moves && this.#now % MOVE_MILLISECONDS === 0) this.#move();
      this.#deliver();
      for (const [index, host] of this.hosts.entries()) {
        this.#arrive(host);
        if (this.#now % REPORT_MILLISECONDS === index * 20 % 240) {
          this.#report(host);
        }
      }
      if (this.#now % TELL_MILLISECONDS === 0) this.#tellAll();
    }
  }

  #jump(): void {
    for (const host of this.hosts) host.wants *= JUMP;
  }

  /** The traffic goes to the next hosts. */
  #move(): void {
    const wants = this.hosts.map((host) => host.wants);
    for (const [index, host] of this.hosts.entries()) {
      host.wants = wants[(index + 1) % wants.length]!;
    }
  }

  #strike(): void {
    for (const { at, kind, host } of this.#plan.faults) {
      if (at !== this.#now) continue;
      const struck = this.hosts[host % this.hosts.length]!;
      if (kind === "cut") struck.cutUntil = this.#now + 4_000;
      if (kind === "control") this.#division = new LimitDivision();
      if (kind === "restart") {
        struck.part = new LimitPart(
          this.#plan.perSecond,
          this.#now,
          this.#random,
        );
      }
    }
  }

  #arrive(host: Host): void {
    const chance = host.wants * STEP_MILLISECONDS / 1_000;
    if (this.#random() >= chance) return;
    host.part.want(this.#now);
    if (!host.part.admits(this.#now)) return;
    host.part.take(this.#now);
    host.sent.push(this.#now);
  }

  #report(host: Host): void {
    const perSecond = host.part.wantedPerSecond(this.#now);
    this.#send(host, () => {
      const limit = {
        incarnation: INCARNATION,
        perSecond: this.#plan.perSecond,
        saidAt: this.#now,
      };
      this.#division.name(limit, this.#now);
      const wanted = { host: host.name, perSecond };
      this.#division.want(INCARNATION, wanted, this.#now);
    });
  }

  #tellAll(): void {
    for (const host of this.hosts) {
      const [told] = this.#division.partsOf(host.name, this.#now);
      if (told === undefined) continue;
      const item = { key: INCARNATION, value: told.part };
      if (host.due.select([item], this.#now).length === 0) continue;
      this.#send(host, () => host.part.tell(told.part, this.#now));
    }
  }

  #send(host: Host, run: () => void): void {
    if (this.#now < host.cutUntil) return;
    if (this.#random() < this.#plan.lost) return;
    const at = this.#now + 5 + this.#random() * 120;
    this.#messages.push({ at, run });
  }

  #deliver(): void {
    const due = this.#messages.filter(({ at }) => at <= this.#now);
    this.#messages = this.#messages.filter(({ at }) => at > this.#now);
    for (const { run } of due) run();
  }

  /** Most that the hosts sent together in any window behind the first time. */
  most(isCounted: (host: Host) => boolean): number {
    const sent = this.hosts.filter(isCounted)
      .flatMap((host) => host.sent)
      .sort((left, right) => left - right);
    return Math.max(
      0,
      ...sent.map((end) =>
        end < SETTLED_MILLISECONDS
          ? 0
          : sent.filter((at) => at <= end && at > end - WINDOW_MILLISECONDS)
            .length
      ),
    );
  }

  /** Sent a second in the second half. */
  get laterRate(): number {
    const half = DAY_MILLISECONDS / 2;
    const sent = this.hosts.flatMap((host) => host.sent)
      .filter((at) => at >= half);
    return sent.length * 1_000 / half;
  }
}

function mostAllowed(perSecond: number): number {
  return 1.5 * perSecond * WINDOW_MILLISECONDS / 1_000 + 5;
}

function play(plan: Partial<Plan>): Schedule {
  const schedule = new Schedule({
    seed: 1,
    perSecond: 2,
    wants: [],
    jumps: false,
    moves: false,
    lost: 0,
    faults: [],
    ...plan,
  });
  schedule.run();
  return schedule;
}

function meanLaterRate(plan: Partial<Plan>): number {
  let sum = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    sum += play({ ...plan, seed }).laterRate;
  }
  return sum / SEEDS;
}

// Guards against hosts that together pass a limit while its parts move.
test("the limit holds over all hosts, whatever is late, lost or restarted", () => {
  const fault = fc.record({
    at: fc.integer({ min: 300, max: 2_300 }).map((at) => at * 10),
    kind: fc.constantFrom("cut" as const, "restart" as const, "control"),
    host: fc.nat({ max: 9 }),
  });
  const plan = fc.record({
    seed: fc.nat({ max: 2 ** 30 }),
    perSecond: fc.double({ min: 0.2, max: 40, noNaN: true }),
    wants: fc.array(fc.double({ min: 0, max: 60, noNaN: true }), {
      minLength: 1,
      maxLength: 10,
    }),
    moves: fc.boolean(),
    jumps: fc.boolean(),
    lost: fc.double({ min: 0, max: 0.1, noNaN: true }),
    faults: fc.array(fault, { maxLength: 4 }),
  });
  fc.assert(
    fc.property(plan, (drawn) => {
      const schedule = play(drawn as Plan);
      const struck = new Set(
        drawn.faults.filter(({ kind }) => kind !== "control")
          .map(({ host }) => `host-${host % drawn.wants.length}`),
      );
      // Who was cut off or restarted is excused, not those beside it.
      const most = schedule.most(({ name }) => !struck.has(name));
      assert.ok(most <= mostAllowed(drawn.perSecond), `${most} in 4 s`);
    }),
    { numRuns: RUNS },
  );
});

test("one busy host among idle ones gets nearly all of it", () => {
  const idle = Array.from({ length: 9 }, () => 0.02);
  for (let seed = 1; seed <= 10; seed += 1) {
    const { laterRate } = play({ seed, perSecond: 3, wants: [12, ...idle] });
    assert.ok(laterRate >= 0.75 * 3, `seed ${seed}: ${laterRate} a second`);
  }
});

// Guards against a limit below one request a second that starves all.
test("fractions of a request starve neither the server nor a host", () => {
  const wants = Array.from({ length: 10 }, () => 3);
  const rate = meanLaterRate({ perSecond: 0.8, wants });
  assert.ok(rate >= 0.6 * 0.8, `${rate} a second`);
});

// Guards against parts that are nothing whenever a host was not asked lately.
test("sparse requests at many hosts use the limit as well", () => {
  const wants = Array.from({ length: 10 }, () => 0.5);
  const rate = meanLaterRate({ perSecond: 2, wants });
  assert.ok(rate >= 0.6 * 2, `${rate} a second`);
});

test("a limit above what is wanted keeps off little", () => {
  const wants = Array.from({ length: 10 }, () => 0.1);
  const rate = meanLaterRate({ perSecond: 3, wants });
  assert.ok(rate >= 0.6, `${rate} a second of 1 that is wanted`);
});

// Guards against all hosts that saved up a request and send it at one moment.
test("traffic that jumps at all hosts at once keeps to the limit", () => {
  for (let seed = 1; seed <= 60; seed += 1) {
    const wants = Array.from({ length: 10 }, () => 0.05);
    const schedule = play({ seed, perSecond: 1, wants, jumps: true });
    const most = schedule.most(() => true);
    assert.ok(most <= mostAllowed(1), `seed ${seed}: ${most} in 4 s`);
  }
});

test("who falls silent gives its part back", () => {
  const division = new LimitDivision();
  const limit = { incarnation: INCARNATION, perSecond: 2, saidAt: 0 };
  division.name(limit, 0);
  division.want(INCARNATION, { host: "a", perSecond: 5 }, 0);
  division.want(INCARNATION, { host: "b", perSecond: 5 }, 0);
  assert.equal(division.partsOf("a", 100)[0]!.part, 0.5);
  division.want(INCARNATION, { host: "a", perSecond: 5 }, 3_000);
  assert.equal(division.partsOf("a", 3_000)[0]!.part, 1);
});

test("what was said later stands, in whichever order it comes", () => {
  const division = new LimitDivision();
  const say = (perSecond: number | undefined, saidAt: number) =>
    division.name({ incarnation: INCARNATION, perSecond, saidAt }, 100);
  assert.equal(say(2, 10), true);
  assert.equal(say(undefined, 30), true);
  assert.equal(say(2, 20), false);
  const [told] = division.partsOf("a", 100);
  assert.equal(told!.limit.perSecond, undefined);
});

test("a part shrinks at once, and grows once all others have shrunk", () => {
  const part = new LimitPart(10, 0, seededRandom(1));
  part.tell(0.5, 0);
  part.tell(0.2, 100);
  assert.equal(part.part(100), 0.2);
  part.tell(0.8, 200);
  assert.equal(part.part(200), 0.2);
  part.tell(0.8, 1_201);
  assert.equal(part.part(1_201), 0.8);
});
