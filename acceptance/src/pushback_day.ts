import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { performance } from "node:perf_hooks";
import { findPlayedRepeatFaults } from "./budget/find_played_repeat_faults.ts";
import type { EndingTerms } from "./endings/ending_terms.ts";
import { EndToEndSystem } from "./end_to_end_system.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
import { findPushbackFaults } from "./find_pushback_faults.ts";

const GATEWAYS = 10;
const CONTROL_HOSTS = 3;
const ENGINES = 6;
const DAY_MILLISECONDS = 16_000;
/** Without troubles, at the end: all servers have to be used again by then. */
const CALM_MILLISECONDS = 6_000;
const REQUESTS_PER_SECOND = 120;
const DISRUPTIONS = 3;
const FREEZE_MILLISECONDS = 1_500;
const LEAVING_MILLISECONDS = 3_000;
const MAX_SPELL_MILLISECONDS = 4_000;
const MAX_PAUSE_SECONDS = 4;
/** Values of Retry-After that are no time. */
const UNREADABLE = ["soon", "", "-1", "1e9"];
const STREAM_EVENTS = 8;
const MIN_CALM_SERVED_SHARE = 0.95;

type PushbackDayResult = {
  seed: number;
  troubles: string[];
  served: number;
  refused: number;
  broken: number;
  /** Requests that servers rejected with Retry-After. */
  rejections: number;
  /** Answers that said that their server is shutting down. */
  notices: number;
  /** A line for each violated requirement; empty if the day was good. */
  faults: string[];
};

type Answer = { sentAt: number; status: number; text: string };
type Trouble = { name: string; inject: () => Promise<unknown> };

/**
 * Simulates a day on loopback with ten unevenly loaded gateways, on which
 * engines ask for pauses and shut down: one, several one after the other, half
 * of them, and all at once. Disruptions drawn at random come beside.
 */
export class PushbackDay {
  #seed: number;
  #system: EndToEndSystem;
  #answers: Promise<Answer>[] = [];
  #sent = new Map<string, { gateway: string; sentAt: number }>();
  #excuses: { gateway: string; from: number; to: number }[] = [];
  #troubles: string[] = [];
  #isOver = false;

  constructor(seed: number, terms: EndingTerms = {}) {
    this.#seed = seed;
    this.#system = new EndToEndSystem({
      engines: ENGINES,
      gateways: GATEWAYS,
      controlHosts: CONTROL_HOSTS,
      ...terms,
    });
  }

  async run(): Promise<PushbackDayResult> {
    const system = this.#system;
    let keepLogs = true;
    try {
      await system.start();
      const requests = this.#sendRequests();
      await Promise.all([
        this.#askForPauses(),
        this.#shutDown(),
        this.#disrupt(),
      ]);
      await sleep(CALM_MILLISECONDS);
      this.#isOver = true;
      await requests;
      const result = this.#buildResult(await Promise.all(this.#answers));
      keepLogs = result.faults.length > 0;
      return result;
    } finally {
      await system.stop({ keepLogs });
    }
  }

  /**
   * Creates the random numbers of one concurrent task: with shared ones, the
   * draws of a task would depend on the timing of the others.
   */
  #createRandom(task: string): () => number {
    return createSeededRandom(hashText(`pushback ${this.#seed} ${task}`));
  }

  async #sendRequests(): Promise<void> {
    const { gatewayIps } = this.#system;
    const random = this.#createRandom("requests");
    for (let count = 0; !this.#isOver; count += 1) {
      const index = Math.floor(random() ** 2 * gatewayIps.length);
      this.#answers.push(this.#sendRequest(`a-${count}`, gatewayIps[index]!));
      await sleep(2_000 * random() / REQUESTS_PER_SECOND);
    }
  }

  async #sendRequest(id: string, gateway: string): Promise<Answer> {
    const sentAt = performance.now();
    this.#sent.set(id, { gateway, sentAt });
    try {
      const { status, text } = await this.#system.sendRequest("/write/x", {
        id,
        gateway,
        method: "POST",
        body: id,
        headers: { Model: "model-1", "Token-Usage": "100,8" },
      });
      return { sentAt, status, text };
    } catch {
      return { sentAt, status: 0, text: "" };
    }
  }

  /** Spells in which some engines reject requests; they may overlap. */
  async #askForPauses(): Promise<void> {
    const endAt = performance.now() + DAY_MILLISECONDS;
    const random = this.#createRandom("pauses");
    const spells: Promise<void>[] = [];
    while (performance.now() < endAt) {
      const count = pick([1, 1, 1, ENGINES / 2, ENGINES], random);
      this.#troubles.push(`pauses of ${count}`);
      const first = Math.floor(random() * ENGINES);
      for (let index = 0; index < count; index += 1) {
        const engine = this.#system.engines[(first + index) % ENGINES]!;
        spells.push(this.#reject(engine, random));
      }
      await sleep(500 + 3_000 * random());
    }
    await Promise.all(spells);
  }

  async #reject(
    engine: FakeBackendServer,
    random: () => number,
  ): Promise<void> {
    const seconds = random() * MAX_PAUSE_SECONDS;
    const isReadable = random() < 0.9;
    const spellMilliseconds = MAX_SPELL_MILLISECONDS * random();
    engine.retryAfter = isReadable
      ? seconds.toFixed(2)
      : pick(UNREADABLE, random);
    await sleep(spellMilliseconds);
    engine.retryAfter = undefined;
  }

  /** Engines shut down one after the other; each starts anew. */
  async #shutDown(): Promise<void> {
    const endAt = performance.now() + DAY_MILLISECONDS;
    const random = this.#createRandom("shutdowns");
    while (performance.now() < endAt) {
      await sleep(1_000 + 2_000 * random());
      const engine = pick(this.#system.engines, random);
      if (engine.isDown) continue;
      this.#troubles.push("shutdown");
      engine.isLeaving = true;
      await sleep(LEAVING_MILLISECONDS);
      await engine.crash();
      engine.isLeaving = false;
    }
  }

  async #disrupt(): Promise<void> {
    const system = this.#system;
    const random = this.#createRandom("disruptions");
    const gatewayIndex = () => Math.floor(random() * GATEWAYS);
    const all: Trouble[] = [
      {
        name: "gateway killed",
        inject: () => this.#restartGateways([gatewayIndex()]),
      },
      {
        name: "gateway frozen",
        inject: () => this.#freezeGateway(gatewayIndex()),
      },
      {
        name: "control hosts cut off",
        inject: () => this.#freezeHosts(system.controlNames.slice(1)),
      },
      {
        name: "all power lost",
        inject: () =>
          this.#restartGateways(
            Array.from({ length: GATEWAYS }, (_, index) => index),
          ),
      },
      { name: "new version named", inject: () => system.nameWeights(2) },
      {
        name: "engine crashed",
        inject: () => pick(system.engines, random).crash(),
      },
    ];
    const gap = DAY_MILLISECONDS / (DISRUPTIONS + 1);
    for (let count = 0; count < DISRUPTIONS; count += 1) {
      await sleep(gap * (0.5 + random() * 0.5));
      const { name, inject } = pick(all, random);
      this.#troubles.push(name);
      await inject();
    }
  }

  async #restartGateways(indexes: number[]): Promise<void> {
    const system = this.#system;
    const from = performance.now();
    if (indexes.length === GATEWAYS) await system.restartAll();
    else {
      await system.cluster.restart(
        indexes.map((index) => system.gatewayNames[index]!),
      );
    }
    this.#excuse(indexes, from);
  }

  async #freezeGateway(index: number): Promise<void> {
    const from = performance.now();
    await this.#freezeHosts([this.#system.gatewayNames[index]!]);
    this.#excuse([index], from);
  }

  #excuse(indexes: number[], from: number): void {
    const to = performance.now();
    for (const index of indexes) {
      const gateway = this.#system.gatewayIps[index]!;
      this.#excuses.push({ gateway, from, to });
    }
  }

  async #freezeHosts(names: string[]): Promise<void> {
    const children = names.map((name) =>
      this.#system.cluster.findHost(name).child
    );
    for (const child of children) child.signal("SIGSTOP");
    await sleep(FREEZE_MILLISECONDS);
    for (const child of children) child.signal("SIGCONT");
  }

  #buildResult(answers: Answer[]): PushbackDayResult {
    const { engines } = this.#system;
    const faults = findPushbackFaults({
      servers: engines,
      sent: this.#sent,
      excuses: this.#excuses,
    });
    const served = answers.filter(({ status }) => status === 200);
    const refused = answers.filter(({ status }) => status === 503);
    const incomplete = served.filter(({ text }) =>
      text.split("\n\n").length !== STREAM_EVENTS + 1
    );
    const sent = [...this.#sent].map(([id, request]) => ({ id, ...request }));
    faults.push(...findPlayedRepeatFaults(this.#system, sent));
    if (incomplete.length > 0) {
      faults.push(`${incomplete.length} responses were incomplete`);
    }
    const lastSentAt = Math.max(...answers.map(({ sentAt }) => sentAt));
    const atEnd = answers.filter(({ sentAt }) =>
      sentAt > lastSentAt - CALM_MILLISECONDS / 3
    );
    const servedAtEnd = atEnd.filter(({ status }) => status === 200).length;
    if (servedAtEnd < atEnd.length * MIN_CALM_SERVED_SHARE) {
      faults.push(`only ${servedAtEnd} of ${atEnd.length} served at the end`);
    }
    return {
      seed: this.#seed,
      troubles: this.#troubles,
      served: served.length,
      refused: refused.length,
      broken: answers.length - served.length - refused.length,
      rejections: sum(engines.map(({ rejections }) => rejections.length)),
      notices: sum(engines.map(({ leavingNotices }) => leavingNotices.length)),
      faults,
    };
  }
}

function pick<Value>(values: readonly Value[], random: () => number): Value {
  return values[Math.floor(random() * values.length)]!;
}

function sum(numbers: number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
