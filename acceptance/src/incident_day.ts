import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { performance } from "node:perf_hooks";
import type { DayResult } from "./day_result.ts";
import { findArrivalsUnderLimit } from "./find_arrivals_under_limit.ts";
import { findPlayedRepeatFaults } from "./budget/find_played_repeat_faults.ts";
import { findDayFaults } from "./find_day_faults.ts";
import type { LimitPeriod } from "./limit_period.ts";
import { countMostWithin } from "./count_most_within.ts";
import { slowDownServers } from "./budget/slow_down_servers.ts";
import type { SlowEngineTerms } from "./budget/slow_engine_terms.ts";
import type { EndingTerms } from "./endings/ending_terms.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import { EndToEndSystem } from "./end_to_end_system.ts";
import { freezeHost } from "./freeze_host.ts";

const GATEWAYS = 10;
const CONTROL_HOSTS = 3;
const ENGINES = 6;
const DAY_MILLISECONDS = 20_000;
/** Mean rate of the requests that crash no engine. */
const REQUESTS_PER_SECOND = 40;
const DISRUPTIONS = 4;
const CRASH_BODIES = ["crash one", "crash two"];
const MAX_BODY_BYTES = 40_000;
const STREAM_EVENTS = 8;
/**
 * Time from the third crash under a request until every gateway has to refuse
 * the request.
 */
const BLAME_PROPAGATION_MILLISECONDS = 3_000;
const WINDOW_MILLISECONDS = 4_000;

type Answer = { status: number; text: string; isBroken: boolean };
type Disruption = {
  name: string;
  inject: (system: EndToEndSystem) => Promise<unknown>;
};

/**
 * Simulates a day of incidents in 20 s, on loopback with ten unevenly loaded
 * gateways. Requests that crash engines are sent again and again to all
 * gateways, and one engine announces limits. Half of the engines send answers
 * that end with their connection. Meanwhile four disruptions, drawn
 * at random, make hosts or engines fail or name new weights.
 */
export class IncidentDay {
  #seed: number;
  #random: () => number;
  #requestsPerSecond: number;
  #system: EndToEndSystem;
  #answers: Promise<Answer>[] = [];
  #limitPeriods: LimitPeriod[] = [];
  /** Where and when each request was sent, by its id. */
  #sent = new Map<string, { gateway: string; sentAt: number }>();
  /** From when gateways had been killed until they had restarted. */
  #restarts: { gateway: string; from: number; at: number }[] = [];
  #sentRequests = 0;

  constructor(
    seed: number,
    terms: EndingTerms & Partial<SlowEngineTerms> = {},
  ) {
    this.#seed = seed;
    this.#requestsPerSecond = REQUESTS_PER_SECOND * (terms.streamShare ?? 1);
    this.#random = createSeededRandom(hashText(String(seed)));
    this.#system = new EndToEndSystem({
      engines: ENGINES,
      gateways: GATEWAYS,
      controlHosts: CONTROL_HOSTS,
      ...terms,
    });
    slowDownServers(this.#system.engines, terms);
  }

  async run(): Promise<DayResult> {
    const system = this.#system;
    const disruptions = this.#drawDisruptions();
    let keepLogs = true;
    try {
      await system.start();
      for (const engine of system.engines) engine.crashingBodies = CRASH_BODIES;
      frameHalfByConnection(system.engines);
      const work = [
        this.#sendHarmlessRequests(),
        this.#sendCrashingRequests(),
        this.#setLimits(system.engines.at(-1)!),
        this.#injectDisruptions(disruptions),
      ];
      await Promise.all(work);
      const answers = await Promise.all(this.#answers);
      const result = this.#buildResult(answers, disruptions);
      keepLogs = result.faults.length > 0;
      return result;
    } finally {
      await system.stop({ keepLogs });
    }
  }

  #drawDisruptions(): Disruption[] {
    const gateway = () => this.#pick(this.#system.gatewayNames);
    const all: Disruption[] = [
      {
        name: "gateway killed",
        inject: (system) => this.#restartGateway(system, gateway()),
      },
      {
        name: "gateway frozen",
        inject: (system) => freezeHost(system, gateway()),
      },
      {
        name: "control host killed",
        inject: (system) => restart(system, this.#pick(system.controlNames)),
      },
      { name: "all power lost", inject: (system) => this.#restartAll(system) },
      { name: "new version named", inject: (system) => system.nameWeights(2) },
      {
        name: "engine crashed by itself",
        inject: (system) => this.#pick(system.engines.slice(0, -1)).crash(),
      },
      {
        name: "half of the engines crashed by themselves",
        inject: (system) =>
          Promise.all(
            system.engines.slice(0, ENGINES / 2).map((engine) =>
              engine.crash()
            ),
          ),
      },
    ];
    return Array.from({ length: DISRUPTIONS }, () => this.#pick(all));
  }

  async #restartGateway(system: EndToEndSystem, name: string): Promise<void> {
    const gateway = system.gatewayIps[system.gatewayNames.indexOf(name)]!;
    const from = performance.now();
    await restart(system, name);
    this.#restarts.push({ gateway, from, at: performance.now() });
  }

  async #restartAll(system: EndToEndSystem): Promise<void> {
    const from = performance.now();
    await system.restartAll();
    const at = performance.now();
    for (const gateway of system.gatewayIps) {
      this.#restarts.push({ gateway, from, at });
    }
  }

  #pick<Value>(values: Value[]): Value {
    return values[Math.floor(this.#random() * values.length)]!;
  }

  async #injectDisruptions(disruptions: Disruption[]): Promise<void> {
    const gap = DAY_MILLISECONDS / (disruptions.length + 1);
    for (const { inject } of disruptions) {
      await sleep(gap * (0.5 + this.#random() * 0.5));
      await inject(this.#system);
    }
  }

  /** Most requests go to the first gateways, a few to the last. */
  #drawGateway(): string {
    const { gatewayIps } = this.#system;
    return gatewayIps[Math.floor(this.#random() ** 2 * gatewayIps.length)]!;
  }

  async #sendHarmlessRequests(): Promise<void> {
    const until = performance.now() + DAY_MILLISECONDS;
    while (performance.now() < until) {
      const padding = "x".repeat(this.#random() * MAX_BODY_BYTES);
      const body = `${this.#sentRequests} ${padding}`;
      this.#answers.push(this.#sendRequest("other", this.#drawGateway(), body));
      await sleep(2_000 * this.#random() / this.#requestsPerSecond);
    }
  }

  /** Sends crashing requests one by one, and sometimes four at once. */
  async #sendCrashingRequests(): Promise<void> {
    const until = performance.now() + DAY_MILLISECONDS;
    await sleep(2_000);
    while (performance.now() < until) {
      const body = this.#pick(CRASH_BODIES);
      const copies = this.#random() < 0.15 ? 4 : 1;
      for (let copy = 0; copy < copies; copy += 1) {
        this.#sendRequest(
          `fault${CRASH_BODIES.indexOf(body)}`,
          this.#drawGateway(),
          body,
        );
      }
      await sleep(300 + 900 * this.#random());
    }
  }

  async #setLimits(engine: FakeBackendServer): Promise<void> {
    await sleep(2_500);
    for (let round = 0; round < 2; round += 1) {
      const perSecond = Math.round(5 + this.#random() * 35) / 10;
      const from = performance.now();
      engine.limitPerSecond = perSecond;
      await sleep(8_000);
      this.#limitPeriods.push({ perSecond, from, to: performance.now() });
      engine.limitPerSecond = undefined;
      await sleep(1_000);
    }
  }

  async #sendRequest(
    kind: string,
    gateway: string,
    body: string,
  ): Promise<Answer> {
    this.#sentRequests += 1;
    const id = `${kind}-${this.#sentRequests}`;
    this.#sent.set(id, { gateway, sentAt: performance.now() });
    try {
      const { status, text } = await this.#system.sendRequest("/write/x", {
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

  /** Whether the request's gateway was out of touch, being killed or new. */
  #hasJustRestarted(id: string, arrivedAt: number): boolean {
    const gateway = this.#sent.get(id)?.gateway;
    return this.#restarts.some((restart) =>
      restart.gateway === gateway && arrivedAt >= restart.from &&
      arrivedAt <= restart.at + BLAME_PROPAGATION_MILLISECONDS
    );
  }

  #buildResult(answers: Answer[], disruptions: Disruption[]): DayResult {
    const engines = this.#system.engines;
    const arrivals = engines.flatMap((engine) => engine.arrivals);
    const crashes = engines.flatMap((engine) => engine.crashRecords);
    const isOfBody = (index: number) => (id: string | undefined) =>
      id?.startsWith(`fault${index}-`) ?? false;
    const byBody = CRASH_BODIES.map((_, index) => ({
      crashes: crashes.filter(({ id }) => isOfBody(index)(id)).map(({ at }) =>
        at
      )
        .sort((left, right) => left - right),
      arrivals: arrivals.filter(({ id }) => isOfBody(index)(id))
        .filter(({ id, at }) => !this.#hasJustRestarted(id, at))
        .map(({ at }) => at),
    }));
    const limitedArrivals = engines.at(-1)!.arrivals
      // The request that waits for the system's start is none of the day's.
      .filter(({ id }) => this.#sent.has(id))
      .map(({ id, at }) => ({ at, gateway: this.#sent.get(id)!.gateway }));
    const limitResults = this.#limitPeriods.map((period) => ({
      arrivals: countMostWithin(
        findArrivalsUnderLimit({
          period,
          arrivals: limitedArrivals,
          restarts: this.#restarts,
        }),
        WINDOW_MILLISECONDS,
      ),
      allowed: 1.5 * period.perSecond * WINDOW_MILLISECONDS / 1_000 + 5,
    }));
    const worst = limitResults.sort((left, right) =>
      right.arrivals / right.allowed - left.arrivals / left.allowed
    )[0]!;
    const completed = answers.filter(({ status }) => status === 200);
    const result = {
      seed: this.#seed,
      disruptions: disruptions.map(({ name }) => name),
      served: completed.length,
      refused: answers.filter(({ status }) => status === 503).length,
      broken:
        answers.filter(({ status, isBroken }) =>
          isBroken || status === 502 || status === 504
        ).length,
      wronglyBlamed:
        answers.filter(({ text }) =>
          text.includes("backend servers ended under it")
        ).length,
      crashes: byBody.map((history) => history.crashes.length),
      lateArrivals: byBody.map((history) => countLate(history)),
      maxLimitedArrivals: worst.arrivals,
      allowedLimitedArrivals: worst.allowed,
      faults: [],
    };
    const incomplete =
      completed.filter(({ text }) =>
        text.split("\n\n").length !== STREAM_EVENTS + 1
      ).length;
    const sent = [...this.#sent].map(([id, request]) => ({ id, ...request }));
    return {
      ...result,
      faults: [
        ...findDayFaults(result, incomplete),
        ...findPlayedRepeatFaults(this.#system, sent),
      ],
    };
  }
}

/**
 * Counts the arrivals of a request later than 3 s after the third crash that it
 * caused. Returns 0 if it caused fewer than three.
 */
function countLate(history: { crashes: number[]; arrivals: number[] }): number {
  const thirdCrash = history.crashes[2] ?? Infinity;
  return history.arrivals.filter((at) =>
    at > thirdCrash + BLAME_PROPAGATION_MILLISECONDS
  )
    .length;
}

/**
 * Every second engine's answers end with their connection. Every second of these
 * engines resets what a crash breaks off.
 */
function frameHalfByConnection(engines: readonly FakeBackendServer[]): void {
  for (const [index, engine] of engines.entries()) {
    engine.framesByConnection = index % 2 === 0;
    engine.breakEnd = index % 4 === 0 ? "close" : "reset";
  }
}

async function restart(system: EndToEndSystem, name: string): Promise<void> {
  await system.cluster.restart([name]);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
