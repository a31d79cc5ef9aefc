import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { seededRandom } from "@teaselrouter/core/random/seeded_random.ts";
import { performance } from "node:perf_hooks";
import type { DayFigures } from "./day_figures.ts";
import { findBoundArrivals } from "./find_bound_arrivals.ts";
import { findDayFaults } from "./find_day_faults.ts";
import type { Limited } from "./limited.ts";
import { mostWithin } from "./most_within.ts";
import type { StandInServer } from "./stand_in_server.ts";
import { WholePath } from "./whole_path.ts";

const GATEWAYS = 10;
const CONTROL_HOSTS = 3;
const ENGINES = 6;
const DAY_MILLISECONDS = 20_000;
const REQUESTS_PER_SECOND = 40;
const TROUBLES = 4;
const CRASHING = ["crash one", "crash two"];
const LONG_BODY_BYTES = 40_000;
const STREAM_EVENTS = 8;
/** Until the parts of a limit are known everywhere. */
const TOLD_MILLISECONDS = 3_000;
const WINDOW_MILLISECONDS = 4_000;
const OFF_MILLISECONDS = 1_500;

type Answer = { status: number; text: string; isBroken: boolean };
type Trouble = { name: string; strike: (path: WholePath) => Promise<unknown> };

/**
 * A day on loopback with ten gateways and uneven arrival: requests that end
 * engines come again everywhere, one engine names a limit, and hosts, engines
 * and weights change meanwhile.
 */
export class IncidentDay {
  #seed: number;
  #random: () => number;
  #path = new WholePath({
    engines: ENGINES,
    gateways: GATEWAYS,
    controlHosts: CONTROL_HOSTS,
  });
  #answers: Promise<Answer>[] = [];
  #limited: Limited[] = [];
  /** Gateways asked, by request; and when each started anew. */
  #gatewayAsked = new Map<string, string>();
  #restarts: { gateway: string; at: number }[] = [];
  #sent = 0;

  constructor(seed: number) {
    this.#seed = seed;
    this.#random = seededRandom(hashText(String(seed)));
  }

  async play(): Promise<DayFigures> {
    const path = this.#path;
    const troubles = this.#drawTroubles();
    try {
      await path.start();
      for (const engine of path.engines) engine.crashesOn = CRASHING;
      const work = [
        this.#sendOthers(),
        this.#sendCrashing(),
        this.#nameLimits(path.engines.at(-1)!),
        this.#strike(troubles),
      ];
      await Promise.all(work);
      const answers = await Promise.all(this.#answers);
      return this.#figures(answers, troubles);
    } finally {
      await path.stop();
    }
  }

  #drawTroubles(): Trouble[] {
    const gateway = () => this.#pick(this.#path.gatewayNames);
    const all: Trouble[] = [
      {
        name: "gateway killed",
        strike: (path) => this.#restartGateway(path, gateway()),
      },
      { name: "gateway frozen", strike: (path) => freeze(path, gateway()) },
      {
        name: "control host killed",
        strike: (path) => restart(path, this.#pick(path.controlNames)),
      },
      { name: "all power lost", strike: (path) => this.#restartAll(path) },
      { name: "version named", strike: (path) => path.nameWeights(2) },
      {
        name: "engine ended by itself",
        strike: (path) => this.#pick(path.engines.slice(0, -1)).crash(),
      },
      {
        name: "half of the engines ended by themselves",
        strike: (path) =>
          Promise.all(
            path.engines.slice(0, ENGINES / 2).map((engine) => engine.crash()),
          ),
      },
    ];
    return Array.from({ length: TROUBLES }, () => this.#pick(all));
  }

  async #restartGateway(path: WholePath, name: string): Promise<void> {
    const gateway = path.gatewayIps[path.gatewayNames.indexOf(name)]!;
    await restart(path, name);
    this.#restarts.push({ gateway, at: performance.now() });
  }

  async #restartAll(path: WholePath): Promise<void> {
    await path.restartAll();
    const at = performance.now();
    for (const gateway of path.gatewayIps) {
      this.#restarts.push({ gateway, at });
    }
  }

  #pick<Value>(values: Value[]): Value {
    return values[Math.floor(this.#random() * values.length)]!;
  }

  async #strike(troubles: Trouble[]): Promise<void> {
    const gap = DAY_MILLISECONDS / (troubles.length + 1);
    for (const { strike } of troubles) {
      await pause(gap * (0.5 + this.#random() * 0.5));
      await strike(this.#path);
    }
  }

  /** Most requests go to the first gateways, a few to the last. */
  #drawGateway(): string {
    const { gatewayIps } = this.#path;
    return gatewayIps[Math.floor(this.#random() ** 2 * gatewayIps.length)]!;
  }

  async #sendOthers(): Promise<void> {
    const until = performance.now() + DAY_MILLISECONDS;
    while (performance.now() < until) {
      const long = "x".repeat(this.#random() * LONG_BODY_BYTES);
      const body = `${this.#sent} ${long}`;
      this.#answers.push(this.#ask("other", this.#drawGateway(), body));
      await pause(2_000 * this.#random() / REQUESTS_PER_SECOND);
    }
  }

  /** In series, and now and then many at once. */
  async #sendCrashing(): Promise<void> {
    const until = performance.now() + DAY_MILLISECONDS;
    await pause(2_000);
    while (performance.now() < until) {
      const body = this.#pick(CRASHING);
      const copies = this.#random() < 0.15 ? 4 : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        this.#ask(`fault${CRASHING.indexOf(body)}`, this.#drawGateway(), body);
      }
      await pause(300 + 900 * this.#random());
    }
  }

  async #nameLimits(engine: StandInServer): Promise<void> {
    await pause(2_500);
    for (let round = 0; round < 2; round += 1) {
      const perSecond = Math.round(5 + this.#random() * 35) / 10;
      const from = performance.now();
      engine.limitPerSecond = perSecond;
      await pause(8_000);
      this.#limited.push({ perSecond, from, to: performance.now() });
      engine.limitPerSecond = undefined;
      await pause(1_000);
    }
  }

  async #ask(kind: string, gateway: string, body: string): Promise<Answer> {
    this.#sent += 1;
    const id = `${kind}-${this.#sent}`;
    this.#gatewayAsked.set(id, gateway);
    try {
      const { status, text } = await this.#path.ask("/write/x", {
        id,
        gateway,
        method: "POST",
        body,
        headers: { Model: "model-1", "Token-Usage": "100,8" },
      });
      return { status, text, isBroken: false };
    } catch {
      return { status: 0, text: "", isBroken: true };
    }
  }

  #figures(answers: Answer[], troubles: Trouble[]): DayFigures {
    const engines = this.#path.engines;
    const arrivals = engines.flatMap((engine) => engine.arrivals);
    const ends = engines.flatMap((engine) => engine.ends);
    const ofFault = (index: number) => (id: string | undefined) =>
      id?.startsWith(`fault${index}-`) ?? false;
    const byFault = CRASHING.map((_, index) => ({
      ends: ends.filter(({ id }) => ofFault(index)(id)).map(({ at }) => at)
        .sort((left, right) => left - right),
      arrivals: arrivals.filter(({ id }) => ofFault(index)(id))
        .map(({ at }) => at),
    }));
    const limitedArrivals = engines.at(-1)!.arrivals
      .map(({ id, at }) => ({ at, gateway: this.#gatewayAsked.get(id)! }));
    const limits = this.#limited.map((limited) => ({
      most: mostWithin(
        findBoundArrivals({
          limited,
          arrivals: limitedArrivals,
          restarts: this.#restarts,
        }),
        WINDOW_MILLISECONDS,
      ),
      allowed: 1.5 * limited.perSecond * WINDOW_MILLISECONDS / 1_000 + 5,
    }));
    const worst = limits.sort((left, right) =>
      right.most / right.allowed - left.most / left.allowed
    )[0]!;
    const whole = answers.filter(({ status }) => status === 200);
    const figures = {
      seed: this.#seed,
      troubles: troubles.map(({ name }) => name),
      served: whole.length,
      refused: answers.filter(({ status }) => status === 503).length,
      broken:
        answers.filter(({ status, isBroken }) =>
          isBroken || status === 502 || status === 504
        ).length,
      wronglyBlamed:
        answers.filter(({ text }) =>
          text.includes("backend servers ended under it")
        ).length,
      ends: byFault.map((fault) => fault.ends.length),
      lateArrivals: byFault.map((fault) => countLate(fault)),
      mostLimited: worst.most,
      allowedLimited: worst.allowed,
      faults: [],
    };
    const spoilt =
      whole.filter(({ text }) =>
        text.split("\n\n").length !== STREAM_EVENTS + 1
      ).length;
    return { ...figures, faults: findDayFaults(figures, spoilt) };
  }
}

/** Arrivals later than 3 s behind the third end under the same request. */
function countLate(fault: { ends: number[]; arrivals: number[] }): number {
  const third = fault.ends[2] ?? Infinity;
  return fault.arrivals.filter((at) => at > third + TOLD_MILLISECONDS).length;
}

async function restart(path: WholePath, name: string): Promise<void> {
  await path.platform.restart([name]);
}

async function freeze(path: WholePath, name: string): Promise<void> {
  const { child } = path.platform.find(name);
  child.signal("SIGSTOP");
  await pause(OFF_MILLISECONDS);
  child.signal("SIGCONT");
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
