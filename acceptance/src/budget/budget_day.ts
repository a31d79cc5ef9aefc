import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import type { EndingTerms } from "../endings/ending_terms.ts";
import { EndToEndSystem } from "../end_to_end_system.ts";
import { findPushbackFaults } from "../find_pushback_faults.ts";
import type { PlatformBounds } from "../platform_bounds.ts";
import { SilenceTraffic } from "../silence_traffic.ts";
import { SilenceTroubles } from "../silence_troubles.ts";
import { USUAL_BOUNDS } from "../usual_bounds.ts";
import type { BudgetRecord } from "./budget_record.ts";
import type { BudgetRequest } from "./budget_request.ts";
import { buildBudgetRecord } from "./build_budget_record.ts";
import { countLongDeadlines } from "./count_long_deadlines.ts";
import { findBudgetFaults } from "./find_budget_faults.ts";
import { findFullestWindows } from "./find_fullest_windows.ts";
import { findHarmFaults } from "./find_harm_faults.ts";
import type { Harm } from "./harm.ts";
import { HarmfulTraffic } from "./harmful_traffic.ts";
import type { RepeatWindow } from "./repeat_window.ts";
import { ServerTroubles } from "./server_troubles.ts";
import { slowDownServers } from "./slow_down_servers.ts";
import type { SlowEngineTerms } from "./slow_engine_terms.ts";

const DEFAULT_GATEWAYS = 6;
const CONTROL_HOSTS = 3;
const ENGINES = 6;
const PLAIN_SERVERS = 3;
const SLOTS = 16;
const MAX_ATTEMPTS = 3;
const EVENT_INTERVAL_MILLISECONDS = 20;
const DEADLINE_MILLISECONDS = 6_000;
const DAY_MILLISECONDS = 24_000;
/** Without troubles: at the end all servers have to be used again. */
const CALM_MILLISECONDS = 6_000;
const MIN_CALM_SERVED_SHARE = 0.95;
const STREAMS_PER_SECOND = 50;
/** A small part of all requests, or a large one. */
const PLAIN_REQUESTS_PER_SECOND = [6, 30];
const RATIOS = [0.2, 0.1, 0.05];
const SLACKS = [40, 20, 10];

type Terms = EndingTerms & Partial<SlowEngineTerms> & {
  /** What ends engines, beside their troubles; all kinds by default. */
  harms?: readonly Harm[];
};
type BudgetDayResult = {
  seed: number;
  bounds: PlatformBounds;
  troubles: string[];
  sent: number;
  served: number;
  /** The fullest window of each service. */
  windows: RepeatWindow[];
  /** Later than the first by half a second, and how many were told too much. */
  deadlines: { long: number; judged: number };
  /** A line for each violated requirement; empty if the day was good. */
  faults: string[];
};

/**
 * Simulates a day on loopback on which backend servers fail, refuse, pause, go
 * mute, answer late and end, by themselves or under a harmful request or part of
 * a prompt, beside gateways that are stopped, killed and frozen again and again.
 * The seed also draws the bounds of the deployment.
 */
export class BudgetDay {
  #seed: number;
  #gateways: number;
  #terms: Terms;
  #bounds: PlatformBounds;
  #system: EndToEndSystem;
  #createRandom = (task: string) =>
    createSeededRandom(hashText(`budget ${this.#seed} ${task}`));
  #hostTroubles: SilenceTroubles;
  #serverTroubles: ServerTroubles;
  #traffic: SilenceTraffic;
  #harmful: HarmfulTraffic;

  constructor(
    seed: number,
    gateways = DEFAULT_GATEWAYS,
    terms: Terms = {},
  ) {
    this.#seed = seed;
    this.#gateways = gateways;
    this.#terms = terms;
    const random = this.#createRandom("bounds");
    this.#bounds = {
      ...USUAL_BOUNDS,
      retryBudgetRatio: pick(RATIOS, random),
      retryBudgetSlack: pick(SLACKS, random),
    };
    const plainRequestsPerSecond = pick(PLAIN_REQUESTS_PER_SECOND, random);
    this.#system = this.#createSystem();
    const system = this.#system;
    const { engines, plainServers, cluster } = system;
    for (const engine of engines) {
      engine.eventIntervalMilliseconds = EVENT_INTERVAL_MILLISECONDS;
    }
    slowDownServers([...engines, ...plainServers], terms);
    this.#hostTroubles = new SilenceTroubles({
      system,
      createRandom: this.#createRandom,
      repeatsKills: true,
    });
    this.#traffic = new SilenceTraffic({
      createRandom: this.#createRandom,
      pickGateway: (random) => this.#pickGateway(random),
      frontendUrl: (gateway) => cluster.frontendUrl(gateway),
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
      streamsPerSecond: STREAMS_PER_SECOND * (terms.streamShare ?? 1),
      plainRequestsPerSecond: plainRequestsPerSecond * (terms.plainShare ?? 1),
      hasDistinctPaths: true,
    });
    this.#harmful = new HarmfulTraffic({
      system,
      harms: terms.harms,
      createRandom: this.#createRandom,
      pickGateway: (random) => this.#pickGateway(random),
    });
    this.#serverTroubles = new ServerTroubles({
      engines,
      plainServers,
      resetsBeforeEnds: this.#terms.drawEnding !== undefined,
      random: this.#createRandom("servers"),
      setSurge: (surge) => {
        this.#traffic.surge = surge;
      },
    });
  }

  /** @param milliseconds how long there are troubles. */
  async run(milliseconds = DAY_MILLISECONDS): Promise<BudgetDayResult> {
    let keepLogs = true;
    try {
      await this.#system.start();
      this.#traffic.start();
      await Promise.all([
        this.#serverTroubles.run(milliseconds),
        this.#hostTroubles.run(milliseconds),
        this.#harmful.run(milliseconds),
      ]);
      await sleep(CALM_MILLISECONDS);
      await this.#traffic.stop();
      const result = this.#buildResult();
      keepLogs = result.faults.length > 0;
      if (keepLogs) this.#writeRecord(result);
      return result;
    } finally {
      await this.#system.stop({ keepLogs });
    }
  }

  #createSystem(): EndToEndSystem {
    return new EndToEndSystem({
      engines: ENGINES,
      plainServers: PLAIN_SERVERS,
      gateways: this.#gateways,
      controlHosts: CONTROL_HOSTS,
      slots: SLOTS,
      routeTimeoutMilliseconds: DEADLINE_MILLISECONDS,
      maxAttempts: MAX_ATTEMPTS,
      bounds: this.#bounds,
      ...this.#terms,
    });
  }

  #pickGateway(random: () => number): string {
    const { gatewayIps } = this.#system;
    const { out } = this.#hostTroubles;
    const taken = gatewayIps.filter((gateway) => !out.has(gateway));
    const ready = taken.length === 0 ? gatewayIps : taken;
    return ready[Math.floor(random() ** 2 * ready.length)]!;
  }

  #buildResult(): BudgetDayResult {
    const { requests } = this.#traffic;
    const record = this.#buildRecord();
    const served = requests.filter(({ status, isWhole }) =>
      status === 200 && isWhole
    );
    return {
      seed: this.#seed,
      bounds: this.#bounds,
      troubles: [...this.#serverTroubles.names, ...this.#hostTroubles.names],
      sent: requests.length,
      served: served.length,
      windows: findFullestWindows(record),
      deadlines: countLongDeadlines(record),
      faults: [
        ...findBudgetFaults(record),
        ...this.#findHarmFaults(record),
        ...this.#findPauseFaults(record),
        ...this.#findCalmFaults(),
      ],
    };
  }

  #buildRecord(): BudgetRecord {
    const { engines, plainServers } = this.#system;
    const { kills, freezes, stops } = this.#hostTroubles;
    const ended = [...engines, ...plainServers]
      .flatMap(({ endedInstances }) => endedInstances);
    return buildBudgetRecord({
      system: this.#system,
      bounds: this.#bounds,
      requests: this.#listRequests(),
      endedInstances: new Set(ended),
      maxAttempts: MAX_ATTEMPTS,
      disruptions: [...kills, ...freezes, ...stops],
    });
  }

  #listRequests(): BudgetRequest[] {
    const deadlineMilliseconds = DEADLINE_MILLISECONDS;
    return [
      ...this.#traffic.requests.map((request) => ({
        ...request,
        service: request.kind === "stream" ? "writer" : "plain",
        deadlineMilliseconds,
      })),
      ...this.#harmful.sent.map((request) => ({
        ...request,
        kind: "stream" as const,
        service: "writer",
        deadlineMilliseconds,
      })),
    ];
  }

  #findHarmFaults({ arrivals, disruptions }: BudgetRecord): string[] {
    return findHarmFaults({
      sent: this.#harmful.sent,
      ends: this.#system.engines.flatMap(({ crashRecords }) => crashRecords),
      arrivals,
      contactMs: this.#bounds.contactMs,
      disruptions,
      controlCuts: this.#hostTroubles.controlCuts,
    });
  }

  #findPauseFaults({ requests, disruptions }: BudgetRecord): string[] {
    const { engines, plainServers } = this.#system;
    return findPushbackFaults({
      servers: [...engines, ...plainServers],
      sent: new Map(requests.map((request) => [request.id, request])),
      excuses: disruptions,
    });
  }

  #findCalmFaults(): string[] {
    const { requests } = this.#traffic;
    const lastSentAt = Math.max(...requests.map(({ sentAt }) => sentAt));
    const atEnd = requests.filter(({ sentAt }) =>
      sentAt > lastSentAt - CALM_MILLISECONDS / 3
    );
    const served = atEnd.filter(({ status, isWhole }) =>
      status === 200 && isWhole
    );
    return served.length < atEnd.length * MIN_CALM_SERVED_SHARE
      ? [`only ${served.length} of ${atEnd.length} served at the end`]
      : [];
  }

  /** Writes what explains the faults beside the logs of the hosts. */
  #writeRecord(result: BudgetDayResult): void {
    const record = this.#buildRecord();
    const { timeOrigin } = performance;
    writeFileSync(
      join(this.#system.cluster.folder, "day.json"),
      JSON.stringify({ timeOrigin, result, ...record }, undefined, 1),
    );
  }
}

function pick<Value>(values: readonly Value[], random: () => number): Value {
  return values[Math.floor(random() * values.length)]!;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
