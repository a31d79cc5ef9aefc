import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { monitorEventLoopDelay, performance } from "node:perf_hooks";
import { buildBudgetRecord } from "./budget/build_budget_record.ts";
import { findBudgetFaults } from "./budget/find_budget_faults.ts";
import { EndToEndSystem } from "./end_to_end_system.ts";
import {
  findSilenceFaults,
  listLostRequests,
  type SilenceDayRecord,
} from "./find_silence_faults.ts";
import { RunDelayWatch } from "./run_delay_watch.ts";
import { SilenceMaker } from "./silence_maker.ts";
import { SilenceTraffic } from "./silence_traffic.ts";
import { SilenceTroubles } from "./silence_troubles.ts";
import { USUAL_BOUNDS } from "./usual_bounds.ts";

const GATEWAYS = 10;
const CONTROL_HOSTS = 3;
const ENGINES = 6;
const PLAIN_SERVERS = 2;
const SLOTS = 16;
const MAX_ATTEMPTS = 2;
const EVENT_INTERVAL_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 8_000;
const DAY_MILLISECONDS = 20_000;
/** Before the first trouble: gateways save up retries, servers fill. */
const QUIET_MILLISECONDS = 2_000;
/** After the last trouble: all servers have to be used again by then. */
const CALM_MILLISECONDS = 6_000;
const MIN_CALM_SERVED_SHARE = 0.95;
const NANOSECONDS_PER_MILLISECOND = 1e6;

type SilenceDayResult = {
  seed: number;
  /** Silences of single servers. */
  silences: number;
  spells: string[];
  troubles: string[];
  served: number;
  refused: number;
  /** Requests without an answer, or with one that is not whole. */
  broken: number;
  /** How many of these were excused, by reason. */
  excused: Record<string, number>;
  /** Longest time for which this process, also all servers, stood still. */
  longestStallMilliseconds: number;
  /** A line for each violated requirement; empty if the day was good. */
  faults: string[];
};

/**
 * Simulates a day on loopback with ten unevenly loaded gateways, on which
 * backend servers fall silent for up to two and a half seconds and go on, beside
 * changes of the configuration, planned stops, kills and cuts.
 */
export class SilenceDay {
  #seed: number;
  #system = new EndToEndSystem({
    engines: ENGINES,
    plainServers: PLAIN_SERVERS,
    gateways: GATEWAYS,
    controlHosts: CONTROL_HOSTS,
    slots: SLOTS,
    routeTimeoutMilliseconds: DEADLINE_MILLISECONDS,
  });
  #createRandom = (task: string) =>
    createSeededRandom(hashText(`silence ${this.#seed} ${task}`));
  #troubles = new SilenceTroubles({
    system: this.#system,
    createRandom: this.#createRandom,
  });
  #silences: SilenceMaker;
  #traffic: SilenceTraffic;
  #delay = monitorEventLoopDelay();
  #runDelays = new RunDelayWatch(() => this.#listProcesses());

  constructor(seed: number) {
    this.#seed = seed;
    const system = this.#system;
    const { engines, plainServers, cluster } = system;
    for (const engine of engines) {
      engine.eventIntervalMilliseconds = EVENT_INTERVAL_MILLISECONDS;
    }
    this.#silences = new SilenceMaker({
      engines,
      plainServers,
      random: this.#createRandom("silences"),
    });
    this.#traffic = new SilenceTraffic({
      createRandom: this.#createRandom,
      pickGateway: (random) => this.#pickGateway(random),
      frontendUrl: (gateway) => cluster.frontendUrl(gateway),
      deadlineMilliseconds: DEADLINE_MILLISECONDS,
    });
  }

  /** @param milliseconds how long the servers fall silent again and again. */
  async run(milliseconds = DAY_MILLISECONDS): Promise<SilenceDayResult> {
    let keepLogs = true;
    try {
      await this.#system.start();
      this.#delay.enable();
      this.#runDelays.start();
      this.#traffic.start();
      await sleep(QUIET_MILLISECONDS);
      await Promise.all([
        this.#silences.run(milliseconds),
        this.#troubles.run(milliseconds),
      ]);
      await sleep(CALM_MILLISECONDS);
      await this.#traffic.stop();
      this.#delay.disable();
      const result = this.#buildResult();
      keepLogs = result.faults.length > 0;
      if (keepLogs) this.#writeRecord();
      return result;
    } finally {
      this.#runDelays.stop();
      await this.#system.stop({ keepLogs });
    }
  }

  #listProcesses(): { name: string; pid: number }[] {
    const { cluster, gatewayNames, gatewayIps } = this.#system;
    return gatewayNames.map((name, index) => ({
      name: gatewayIps[index]!,
      pid: cluster.findHost(name).child.pid,
    }));
  }

  #pickGateway(random: () => number): string {
    const ready = this.#system.gatewayIps.filter((gateway) =>
      !this.#troubles.out.has(gateway)
    );
    return ready[Math.floor(random() ** 2 * ready.length)]!;
  }

  #buildResult(): SilenceDayResult {
    const { requests } = this.#traffic;
    const served = requests.filter(({ status, isWhole }) =>
      status === 200 && isWhole
    );
    const refused = requests.filter(({ status }) => status >= 400);
    return {
      seed: this.#seed,
      silences: this.#silences.silences.length,
      spells: this.#silences.spells,
      troubles: this.#troubles.names,
      served: served.length,
      refused: refused.length,
      broken: requests.length - served.length - refused.length,
      excused: this.#countExcuses(),
      longestStallMilliseconds: Math.round(
        this.#delay.max / NANOSECONDS_PER_MILLISECOND,
      ),
      faults: [
        ...findSilenceFaults(this.#buildRecord()),
        ...this.#findBudgetFaults(),
        ...this.#findCalmFaults(),
      ],
    };
  }

  #countExcuses(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { excuse } of listLostRequests(this.#buildRecord())) {
      if (excuse !== undefined) counts[excuse] = (counts[excuse] ?? 0) + 1;
    }
    return counts;
  }

  #findCalmFaults(): string[] {
    const { requests } = this.#traffic;
    const lastSentAt = Math.max(...requests.map(({ sentAt }) => sentAt));
    const atEnd = requests.filter(({ sentAt }) =>
      sentAt > lastSentAt - CALM_MILLISECONDS / 3
    );
    const served =
      atEnd.filter(({ status, isWhole }) => status === 200 && isWhole).length;
    return served < atEnd.length * MIN_CALM_SERVED_SHARE
      ? [`only ${served} of ${atEnd.length} served at the end`]
      : [];
  }

  #findBudgetFaults(): string[] {
    const { kills, freezes, stops } = this.#troubles;
    return findBudgetFaults(buildBudgetRecord({
      system: this.#system,
      bounds: USUAL_BOUNDS,
      requests: this.#traffic.requests.map((request) => ({
        ...request,
        service: request.kind === "stream" ? "writer" : "plain",
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
      })),
      endedInstances: new Set(),
      maxAttempts: MAX_ATTEMPTS,
      disruptions: [...kills, ...freezes, ...stops],
    }));
  }

  #buildRecord(): SilenceDayRecord {
    const { engines, plainServers } = this.#system;
    const { kills, freezes, stops } = this.#troubles;
    return {
      requests: this.#traffic.requests,
      servers: [...engines, ...plainServers],
      gateways: GATEWAYS,
      silences: this.#silences.silences,
      kills,
      freezes,
      stops,
      runDelays: this.#runDelays.delays,
      lateSamples: this.#runDelays.lateSamples,
      shortestMilliseconds: DEADLINE_MILLISECONDS,
      eventIntervalMilliseconds: EVENT_INTERVAL_MILLISECONDS,
    };
  }

  /** Writes what explains the faults beside the logs of the hosts. */
  #writeRecord(): void {
    const day = this.#buildRecord();
    const { silences, kills, freezes, stops, runDelays, lateSamples } = day;
    const record = {
      timeOrigin: performance.timeOrigin,
      lost: listLostRequests(day),
      silences,
      kills,
      freezes,
      stops,
      runDelays,
      lateSamples,
    };
    writeFileSync(
      join(this.#system.cluster.folder, "day.json"),
      JSON.stringify(record, undefined, 1),
    );
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
