import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { findPlayedRepeatFaults } from "./budget/find_played_repeat_faults.ts";
import type { CallerTerms } from "./callers/caller_terms.ts";
import { HostTroubles } from "./callers/host_troubles.ts";
import type { EndingTerms } from "./endings/ending_terms.ts";
import { EndToEndSystem } from "./end_to_end_system.ts";
import type { EngineTerms } from "./engines/engine_terms.ts";
import type { FakeBackendServer } from "./fake_backend_server.ts";
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
type Prompt = Pick<Sent, "part"> & { body: string; parts: string[] };
type Disruption = {
  name: string;
  inject: (system: EndToEndSystem) => Promise<unknown>;
  /** Gateways that are disrupted. */
  gateways: (system: EndToEndSystem) => string[];
};

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
  #troubles: HostTroubles;
  #callers: CallerTerms;
  #engines: EngineTerms;
  #milliseconds: number;

  constructor(
    seed: number,
    terms: EndingTerms & CallerTerms & EngineTerms = {},
  ) {
    this.#seed = seed;
    this.#callers = terms;
    this.#engines = terms;
    this.#milliseconds = terms.milliseconds ?? DAY_MILLISECONDS;
    this.#random = createSeededRandom(hashText(`part ${seed}`));
    this.#mix = PROMPT_MIXES[seed % PROMPT_MIXES.length]!;
    this.#system = new EndToEndSystem({
      engines: ENGINES,
      gateways: GATEWAYS,
      controlHosts: CONTROL_HOSTS,
      slots: SLOTS,
      ...terms,
    });
    this.#troubles = new HostTroubles(this.#system, {
      milliseconds: this.#milliseconds,
    });
  }

  async run(): Promise<PartDayResult> {
    const system = this.#system;
    const { powerLosses = [], absences = [] } = this.#callers;
    // The first seeds run each mix without a disruption.
    const disruption =
      this.#seed < PROMPT_MIXES.length || powerLosses.length > 0 ||
        absences.length > 0
        ? undefined
        : this.#drawDisruption();
    let keepLogs = true;
    try {
      await system.start();
      for (const engine of system.engines) {
        Object.assign(engine, this.#listEngineDraws());
      }
      await Promise.all([
        this.#troubles.losePower(powerLosses),
        this.#troubles.keepAway(absences),
        this.#makePartsHarmful(),
        this.#sendHarmless(),
        ...this.#mix.drawCrashing.map((_, part) => this.#sendCrashing(part)),
        this.#crashAtRandom(),
        disruption && this.#disrupt(disruption),
      ]);
      const sent = await this.#awaitAnswers();
      const result = this.#buildResult(sent, disruption?.name ?? "none");
      keepLogs = result.faults.length > 0;
      return result;
    } finally {
      await system.stop({ keepLogs });
    }
  }

  /** What the day says of its engines; they draw anything else as usual. */
  #listEngineDraws(): Partial<FakeBackendServer> {
    const { drawFirstByte, drawHead, drawStreamLength } = this.#engines;
    const { drawCrashDelay } = this.#callers;
    return {
      ...(drawFirstByte && { drawFirstByte }),
      ...(drawHead && { drawHead }),
      ...(drawStreamLength && { drawStreamLength }),
      ...(drawCrashDelay && { drawCrashDelay }),
    };
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
    await this.#troubles.disrupt(
      gateways(this.#system),
      () => inject(this.#system),
    );
  }

  /** Waits also for what is sent again meanwhile. */
  async #awaitAnswers(): Promise<Sent[]> {
    while (true) {
      const count = this.#sent.length;
      const sent = await Promise.all(this.#sent);
      if (this.#sent.length === count) return sent;
    }
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
    const until = performance.now() + this.#milliseconds;
    const from = this.#mix.separatesGateways ? 1 : 0;
    const { harmlessPerSecond = HARMLESS_PER_SECOND } = this.#engines;
    while (performance.now() < until) {
      this.#send(this.#drawGateway(from, GATEWAYS), undefined);
      await sleep(2_000 * this.#random() / harmlessPerSecond);
    }
  }

  async #sendCrashing(part: number): Promise<void> {
    const until = performance.now() + this.#milliseconds;
    const { harmfulPerSecond = CRASHING_PER_SECOND } = this.#callers;
    if (harmfulPerSecond === 0) return;
    const perSecond = harmfulPerSecond / this.#mix.drawCrashing.length;
    const to = this.#mix.separatesGateways ? 1 : GATEWAYS;
    const { crowds } = this.#callers;
    await sleep(CRASHING_FROM_MILLISECONDS);
    while (performance.now() < until) {
      for (let count = 0; count < (crowds?.size ?? 1); count += 1) {
        this.#send(this.#drawGateway(0, to), part);
      }
      await sleep(
        crowds?.intervalMilliseconds ?? 2_000 * this.#random() / perSecond,
      );
    }
  }

  #drawGateway(from: number, to: number): string {
    const index = from + Math.floor(this.#random() * (to - from));
    return this.#system.gatewayIps[index]!;
  }

  #send(gateway: string, part: number | undefined): void {
    this.#sentCount += 1;
    const draw = part === undefined
      ? this.#mix.drawHarmless
      : this.#mix.drawCrashing[part]!;
    const parts = [...draw(this.#random), `e${this.#sentCount}`];
    for (const part of parts) assert.match(part, PART_ID);
    const body = `part-${this.#sentCount}`;
    const { repeats = 0 } = this.#callers;
    this.#sent.push(
      this.#sendAttempt({ body, parts, part }, { id: body, gateway, repeats }),
    );
  }

  async #sendAttempt(
    prompt: Prompt,
    { id, gateway, repeats }: {
      id: string;
      gateway: string;
      /** How many times it is sent again, at most. */
      repeats: number;
    },
  ): Promise<Sent> {
    const at = performance.now();
    const answer = await this.#ask(id, gateway, prompt);
    if (prompt.part !== undefined && answer.status !== 200 && repeats > 0) {
      const next = {
        id: `${id}+`,
        gateway: this.#gatewayAfter(gateway),
        repeats: repeats - 1,
      };
      const delay = this.#callers.drawRepeatDelay?.() ?? 0;
      this.#sent.push(
        sleep(delay).then(() => this.#sendAttempt(prompt, next)),
      );
    }
    return { id, gateway, at, part: prompt.part, ...answer };
  }

  #gatewayAfter(gateway: string): string {
    if (this.#mix.separatesGateways) return gateway;
    const { gatewayIps } = this.#system;
    return gatewayIps[(gatewayIps.indexOf(gateway) + 1) % gatewayIps.length]!;
  }

  async #ask(id: string, gateway: string, { body, parts, part }: Prompt) {
    try {
      const { status, text } = await this.#system.sendRequest("/write/x", {
        id,
        gateway,
        method: "POST",
        body,
        leavesAfterMilliseconds: part === undefined
          ? undefined
          : this.#callers.drawLeaving?.(),
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
      ...histories.filter((history) => history.crashes.length > 0)
        .map((history) => decisiveCrashOf(history.crashes)),
      crashes[0]?.at ?? 0,
    );
    const harmless = sent.filter(({ part }) => part === undefined);
    const judged = harmless.filter(({ at, gateway }) =>
      at > lastDecisive + 2 * PROPAGATION_MILLISECONDS &&
      !this.#troubles.isDisrupted(gateway, at)
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
          at > from && !this.#troubles.isDisrupted(gateway, at)
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
}

/** When the fifth crash was, or the last of fewer; Infinity without any. */
function decisiveCrashOf(crashes: number[]): number {
  return crashes[DECISIVE_CRASH - 1] ?? crashes.at(-1) ?? Infinity;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
