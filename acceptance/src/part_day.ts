import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { findPlayedRepeatFaults } from "./budget/find_played_repeat_faults.ts";
import type { EndingTerms } from "./endings/ending_terms.ts";
import { EndToEndSystem } from "./end_to_end_system.ts";
import { freezeHost } from "./freeze_host.ts";
import { findPartDayFaults } from "./find_part_day_faults.ts";
import type { PartDayResult } from "./part_day_result.ts";
import type { PromptMix } from "./prompt_mix.ts";
import { PROMPT_MIXES } from "./prompt_mixes.ts";

const GATEWAYS = 4;
const CONTROL_HOSTS = 3;
const ENGINES = 10;
const SLOTS = 16;
const DAY_MILLISECONDS = 18_000;
const HARMLESS_PER_SECOND = 40;
const CRASHING_PER_SECOND = 5;
const CRASHING_FROM_MILLISECONDS = 2_000;
/** Gateways must refuse requests with the part 3 s after this crash. */
const DECISIVE_CRASH = 5;
const PROPAGATION_MILLISECONDS = 3_000;
/** From 5 to 9 s, when blames are being decided or have just been. */
const DISRUPTION_MILLISECONDS = { from: 5_000, spread: 4_000 };
/** Gateways read no part of a prompt with any other id. */
const PART_ID = /^[0-9a-z]{1,32}$/;
const RANDOM_CRASHES = 21;
const MEAN_CRASH_INTERVAL_MILLISECONDS = 700;

type Sent = {
  id: string;
  gateway: string;
  at: number;
  /** Index of the crashing part; undefined for a harmless request. */
  part: number | undefined;
  status: number;
  text: string;
};
type Disruption = {
  name: string;
  inject: (system: EndToEndSystem) => Promise<unknown>;
  /** Gateways that are disrupted. */
  gateways: (system: EndToEndSystem) => string[];
};
/** `to` is Infinity until the disruption is over. */
type ActiveDisruption = { from: number; to: number; gateways: string[] };

/**
 * Simulates a day in 18 s, on loopback: distinct requests whose prompts contain
 * one part that crashes engines, among harmless ones with the same caller and
 * other parts. The seed selects the mix of prompts and a disruption.
 */
export class PartDay {
  #seed: number;
  #random: () => number;
  #mix: PromptMix;
  #system: EndToEndSystem;
  #sent: Promise<Sent>[] = [];
  #sentCount = 0;
  #activeDisruption: ActiveDisruption | undefined;

  constructor(seed: number, terms: EndingTerms = {}) {
    this.#seed = seed;
    this.#random = createSeededRandom(hashText(`part ${seed}`));
    this.#mix = PROMPT_MIXES[seed % PROMPT_MIXES.length]!;
    this.#system = new EndToEndSystem({
      engines: ENGINES,
      gateways: GATEWAYS,
      controlHosts: CONTROL_HOSTS,
      slots: SLOTS,
      ...terms,
    });
  }

  async run(): Promise<PartDayResult> {
    const system = this.#system;
    // The first seeds run each mix without a disruption.
    const disruption = this.#seed < PROMPT_MIXES.length
      ? undefined
      : this.#drawDisruption();
    let keepLogs = true;
    try {
      await system.start();
      await Promise.all([
        this.#makePartsHarmful(),
        this.#sendHarmless(),
        ...this.#mix.drawCrashing.map((_, part) => this.#sendCrashing(part)),
        this.#crashAtRandom(),
        disruption && this.#disrupt(disruption),
      ]);
      const sent = await Promise.all(this.#sent);
      const result = this.#buildResult(sent, disruption?.name ?? "none");
      keepLogs = result.faults.length > 0;
      return result;
    } finally {
      await system.stop({ keepLogs });
    }
  }

  #drawDisruption(): Disruption {
    const index = Math.floor(this.#random() * GATEWAYS);
    const control = Math.floor(this.#random() * CONTROL_HOSTS);
    const gateway = (system: EndToEndSystem) => [system.gatewayIps[index]!];
    const gatewayName = (system: EndToEndSystem) => system.gatewayNames[index]!;
    const controlName = (system: EndToEndSystem) =>
      system.controlNames[control]!;
    const disruptions: Disruption[] = [
      {
        name: "gateway killed",
        inject: (system) => system.cluster.restart([gatewayName(system)]),
        gateways: gateway,
      },
      {
        name: "gateway frozen",
        inject: (system) => freezeHost(system, gatewayName(system)),
        gateways: gateway,
      },
      {
        name: "control host killed",
        inject: (system) => system.cluster.restart([controlName(system)]),
        gateways: () => [],
      },
      {
        name: "control host frozen",
        inject: (system) => freezeHost(system, controlName(system)),
        gateways: () => [],
      },
      {
        name: "all power lost",
        inject: (system) => system.restartAll(),
        gateways: (system) => system.gatewayIps,
      },
    ];
    return disruptions[Math.floor(this.#random() * disruptions.length)]!;
  }

  async #disrupt({ inject, gateways }: Disruption): Promise<void> {
    await sleep(
      DISRUPTION_MILLISECONDS.from +
        this.#random() * DISRUPTION_MILLISECONDS.spread,
    );
    const active: ActiveDisruption = {
      from: performance.now(),
      to: Infinity,
      gateways: gateways(this.#system),
    };
    this.#activeDisruption = active;
    await inject(this.#system);
    active.to = performance.now();
  }

  async #makePartsHarmful(): Promise<void> {
    await sleep(this.#mix.crashesFromMilliseconds ?? 0);
    for (const engine of this.#system.engines) {
      engine.crashingParts = this.#mix.crashingParts;
    }
  }

  async #crashAtRandom(): Promise<void> {
    if (this.#mix.crashingParts.length > 0) return;
    for (let crash = 0; crash < RANDOM_CRASHES; crash += 1) {
      await sleep(2 * MEAN_CRASH_INTERVAL_MILLISECONDS * this.#random());
      const { engines } = this.#system;
      // Not awaited: engines restart while others crash.
      engines[Math.floor(this.#random() * engines.length)]!.crash();
    }
  }

  async #sendHarmless(): Promise<void> {
    const until = performance.now() + DAY_MILLISECONDS;
    const from = this.#mix.separatesGateways ? 1 : 0;
    while (performance.now() < until) {
      this.#send(this.#drawGateway(from, GATEWAYS), undefined);
      await sleep(2_000 * this.#random() / HARMLESS_PER_SECOND);
    }
  }

  async #sendCrashing(part: number): Promise<void> {
    const until = performance.now() + DAY_MILLISECONDS;
    const perSecond = CRASHING_PER_SECOND / this.#mix.drawCrashing.length;
    const to = this.#mix.separatesGateways ? 1 : GATEWAYS;
    await sleep(CRASHING_FROM_MILLISECONDS);
    while (performance.now() < until) {
      this.#send(this.#drawGateway(0, to), part);
      await sleep(2_000 * this.#random() / perSecond);
    }
  }

  #drawGateway(from: number, to: number): string {
    const index = from + Math.floor(this.#random() * (to - from));
    return this.#system.gatewayIps[index]!;
  }

  #send(gateway: string, part: number | undefined): void {
    this.#sentCount += 1;
    const id = `part-${this.#sentCount}`;
    const draw = part === undefined
      ? this.#mix.drawHarmless
      : this.#mix.drawCrashing[part]!;
    const parts = [...draw(this.#random), `e${this.#sentCount}`];
    for (const part of parts) assert.match(part, PART_ID);
    const at = performance.now();
    this.#sent.push(
      this.#ask(id, gateway, parts).then((answer) => ({
        id,
        gateway,
        at,
        part,
        ...answer,
      })),
    );
  }

  async #ask(id: string, gateway: string, parts: string[]) {
    try {
      const { status, text } = await this.#system.sendRequest("/write/x", {
        id,
        gateway,
        method: "POST",
        body: id,
        headers: {
          Model: "model-1",
          "Token-Usage": "100,8",
          "Prefix-Hash": parts.map((part) => `${part}:20`).join(","),
        },
      });
      return { status, text };
    } catch {
      return { status: 0, text: "" };
    }
  }

  #buildResult(sent: Sent[], disruption: string): PartDayResult {
    const { engines } = this.#system;
    const byId = new Map(sent.map((request) => [request.id, request]));
    const crashes = engines.flatMap((engine) => engine.crashRecords)
      .sort((left, right) => left.at - right.at);
    const arrivals = engines.flatMap((engine) => engine.arrivals);
    const histories = this.#mix.crashingParts.map((_, part) => ({
      crashes: crashes
        .filter(({ id }) => id !== undefined && byId.get(id)?.part === part)
        .map(({ at }) => at),
      arrivals: arrivals.flatMap(({ id, at }) => {
        const request = byId.get(id);
        return request?.part === part ? [{ at, gateway: request.gateway }] : [];
      }),
    }));
    const lastDecisive = Math.max(
      ...histories.map((history) => decisiveCrashOf(history.crashes)),
      crashes[0]?.at ?? 0,
    );
    const harmless = sent.filter(({ part }) => part === undefined);
    const judged = harmless.filter(({ at, gateway }) =>
      at > lastDecisive + 2 * PROPAGATION_MILLISECONDS &&
      !this.#isDisrupted(gateway, at)
    );
    const result = {
      seed: this.#seed,
      mix: this.#mix.name,
      disruption,
      crashes: crashes.length,
      lateArrivals: histories.map((history) => {
        const from = decisiveCrashOf(history.crashes) +
          PROPAGATION_MILLISECONDS;
        return history.arrivals.filter(({ at, gateway }) =>
          at > from && !this.#isDisrupted(gateway, at)
        ).length;
      }),
      stoppedAfterMilliseconds: histories.map((history) =>
        history.crashes.length < 3 ? undefined : Math.round(
          Math.max(...history.arrivals.map(({ at }) => at)) -
            history.crashes[2]!,
        )
      ),
      harmless: {
        sent: judged.length,
        served: judged.filter(({ status }) => status === 200).length,
      },
      wronglyBlamed:
        harmless.filter(({ text }) => text.includes("ended under it")).length,
      faults: [],
    };
    const requests = sent.map(({ id, gateway, at }) => ({
      id,
      gateway,
      sentAt: at,
    }));
    return {
      ...result,
      faults: [
        ...findPartDayFaults(result, harmless.length),
        ...findPlayedRepeatFaults(this.#system, requests),
      ],
    };
  }

  /** Whether the gateway was disrupted at some time in the 3 s before `at`. */
  #isDisrupted(gateway: string, at: number): boolean {
    if (this.#activeDisruption === undefined) return false;
    const { from, to, gateways } = this.#activeDisruption;
    return gateways.includes(gateway) && at > from &&
      at < to + PROPAGATION_MILLISECONDS;
  }
}

/** When the fifth crash was, or the last of fewer; Infinity without any. */
function decisiveCrashOf(crashes: number[]): number {
  return crashes[DECISIVE_CRASH - 1] ?? crashes.at(-1) ?? Infinity;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
