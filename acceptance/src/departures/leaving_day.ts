import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { performance } from "node:perf_hooks";
import { EndToEndSystem } from "../end_to_end_system.ts";
import { findLateArrivals } from "./find_late_arrivals.ts";
import { LeavingFleet } from "./leaving_fleet.ts";
import type { LeavingRecord } from "./leaving_record.ts";
import { LeavingRounds } from "./leaving_rounds.ts";
import { LeavingTroubles } from "./leaving_troubles.ts";
import { SteadyClients } from "./steady_clients.ts";

const DAY_MILLISECONDS = 40_000;
/** Longer than the silence after which a server is taken for gone. */
const CALM_MILLISECONDS = 8_000;
const CALM_JUDGED_MILLISECONDS = 4_000;
const MIN_CALM_SERVED_SHARE = 0.95;
const CONFIGURATION_MILLISECONDS = 1_500;

type Size = {
  controlHosts: number;
  gateways: number;
  servers: number;
  clientsPerGateway: number;
};

const DEFAULT_SIZE: Size = {
  controlHosts: 3,
  gateways: 4,
  servers: 6,
  clientsPerGateway: 4,
};

type LeavingDayResult = {
  seed: number;
  troubles: string[];
  sent: number;
  served: number;
  leavings: number;
  unacknowledged: number;
  /** Milliseconds: median, 95th percentile and longest. */
  acknowledgedIn: number[];
  /** Arrivals at which a late one would have counted. */
  judged: number;
  /** A line for each violated requirement; empty if the day was good. */
  faults: string[];
};

/**
 * Simulates a day on loopback on which backend servers drain and leave while
 * control hosts are killed, stopped and frozen at each step of an
 * acknowledgement, gateways join and stop, and configurations change.
 */
export class LeavingDay {
  #seed: number;
  #size: Size;
  #system: EndToEndSystem;
  #troubles: LeavingTroubles;
  #createRandom = (task: string) =>
    createSeededRandom(hashText(`leaving ${this.#seed} ${task}`));

  constructor(seed: number, size: Partial<Size> = {}) {
    this.#seed = seed;
    this.#size = { ...DEFAULT_SIZE, ...size };
    const { controlHosts, gateways } = this.#size;
    this.#system = new EndToEndSystem({
      engines: 1,
      plainServers: 1,
      gateways,
      controlHosts,
    });
    this.#troubles = new LeavingTroubles({
      system: this.#system,
      random: this.#createRandom("gateways"),
    });
  }

  /** @param milliseconds how long there are troubles. */
  async run(milliseconds = DAY_MILLISECONDS): Promise<LeavingDayResult> {
    const system = this.#system;
    let keepLogs = true;
    let fleet: LeavingFleet | undefined;
    try {
      await system.start();
      fleet = await this.#startFleet();
      const clients = this.#createClients();
      clients.start();
      const rounds = new LeavingRounds({
        fleet,
        troubles: this.#troubles,
        controlNames: system.controlNames,
        random: this.#createRandom("rounds"),
      });
      await Promise.all([
        rounds.run(milliseconds),
        this.#troubles.troubleGateways(milliseconds),
        this.#changeConfiguration(milliseconds),
      ]);
      await sleep(CALM_MILLISECONDS);
      await clients.stop();
      const result = this.#buildResult(fleet, clients);
      keepLogs = result.faults.length > 0;
      return result;
    } finally {
      fleet?.stop();
      await system.stop({ keepLogs });
    }
  }

  /** Replaces the system's own server by those that come and leave. */
  async #startFleet(): Promise<LeavingFleet> {
    const system = this.#system;
    const fleet = new LeavingFleet({
      controlUrls: system.cluster.controlUrls,
      store: system.store,
      random: this.#createRandom("fleet"),
    });
    for (let index = 0; index < this.#size.servers; index += 1) {
      await fleet.add();
    }
    fleet.start();
    system.stopHeartbeats(system.plainServer);
    return fleet;
  }

  #createClients(): SteadyClients {
    const { gatewayIps, gatewayNames, cluster } = this.#system;
    return new SteadyClients({
      gateways: gatewayIps.map((ip, index) => ({
        name: gatewayNames[index]!,
        url: cluster.frontendUrl(ip),
      })),
      clientsPerGateway: this.#size.clientsPerGateway,
    });
  }

  async #changeConfiguration(milliseconds: number): Promise<void> {
    const endAt = performance.now() + milliseconds;
    for (let version = 2; performance.now() < endAt; version += 1) {
      await this.#system.configure(version);
      await sleep(CONFIGURATION_MILLISECONDS);
    }
  }

  #buildResult(fleet: LeavingFleet, clients: SteadyClients): LeavingDayResult {
    const { late, judged } = findLateArrivals(this.#record(fleet, clients));
    const { answers } = clients;
    return {
      seed: this.#seed,
      troubles: this.#troubles.names,
      sent: answers.length,
      served: answers.filter(({ status }) => status === 200).length,
      leavings: fleet.acknowledgements.length,
      unacknowledged: fleet.unacknowledged,
      acknowledgedIn: summarize(fleet.acknowledgementTimes),
      judged,
      faults: [
        ...late.map(({ server, id, at, after }) =>
          `${id} reached ${server} at ${at.toFixed(0)}, ` +
          `${after.toFixed(0)} ms after it was acknowledged that it leaves`
        ),
        ...this.#findBeliefFaults(fleet),
        ...findServiceFaults(answers),
      ],
    };
  }

  /** At the end each gateway has to believe of each server what it last said. */
  #findBeliefFaults(fleet: LeavingFleet): string[] {
    const { gatewayNames, cluster } = this.#system;
    return gatewayNames.flatMap((gateway) => {
      const { output } = cluster.findHost(gateway).child;
      return fleet.members.flatMap(({ name, state, server }) => {
        const text =
          `event=backend-server-changed instance=${server.instance} ` +
          `address=${server.address} state=`;
        const known = output.lastIndexOf(text) + text.length;
        const isReady = output.includes(text) &&
          output.startsWith("ready", known);
        return isReady === (state === "ready") ? [] : [
          `${gateway} believes that ${name} is ${isReady ? "" : "not "}ready`,
        ];
      });
    });
  }

  #record(fleet: LeavingFleet, clients: SteadyClients): LeavingRecord {
    return {
      controlHosts: this.#system.controlNames,
      spans: this.#troubles.spans,
      acknowledgements: fleet.acknowledgements,
      arrivals: fleet.members.flatMap(({ name, server }) =>
        server.arrivals.map(({ id, at }) => ({
          server: name,
          id,
          gateway: clients.gatewayOf(id),
          at,
        }))
      ),
    };
  }
}

function findServiceFaults(answers: SteadyClients["answers"]): string[] {
  const since = performance.now() - CALM_JUDGED_MILLISECONDS;
  const recent = answers.filter(({ at }) => at > since);
  const served = recent.filter(({ status }) => status === 200).length;
  return served < MIN_CALM_SERVED_SHARE * recent.length
    ? [`only ${served} of ${recent.length} were served in the calm`]
    : [];
}

function summarize(times: number[]): number[] {
  const sorted = [...times].sort((left, right) => left - right);
  return [0.5, 0.95, 1].map((share) =>
    Math.round(sorted[Math.ceil(share * sorted.length) - 1] ?? 0)
  );
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
