import { createSeededRandom } from "@teaselrouter/core/random/create_seeded_random.ts";
import { hashText } from "@teaselrouter/core/random/hash_text.ts";
import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { ChangingSystem } from "../changing_system.ts";
import { LOCAL, RunDelayWatch } from "../run_delay_watch.ts";
import { buildMarkedChange } from "./build_marked_change.ts";
import { ConfigurationClients } from "./configuration_clients.ts";
import { ConfigurationOperator } from "./configuration_operator.ts";
import type {
  ConfigurationBounds,
  ConfigurationRecord,
} from "./configuration_record.ts";
import type { ConfigurationShape } from "./configuration_shape.ts";
import { CONFIGURATION_SHAPES } from "./configuration_shapes.ts";
import { ConfigurationTroubles } from "./configuration_troubles.ts";
import { findConfigurationFaults } from "./find_configuration_faults.ts";
import { isInTouch } from "./is_in_touch.ts";

const ROUNDS = 5;
const FIRST_VERSION = 2;
const CHANGE_INTERVAL_MILLISECONDS = 150;
const MIN_DELAY_MILLISECONDS = 5;
const MAX_DELAY_MILLISECONDS = 400;
/** Beyond the time until a gateway is in touch and obeys a version. */
const CALM_MARGIN_MILLISECONDS = 1_000;
/** Longer than until service must be back. */
const READ_BACK_MILLISECONDS = 12_000;

type ConfigurationDayResult = {
  seed: number;
  troubles: string[];
  /** Acknowledgements, answered reads, and requests that showed a version. */
  acknowledged: number;
  read: number;
  shown: number;
  /** Of these, those from gateways in touch. */
  judged: number;
  /** Longest time from the end of a trouble to an answered read. */
  readAfterMilliseconds: number;
  /** A line for each violated requirement; empty if the day was good. */
  faults: string[];
};

/**
 * Simulates a day on loopback on which operators change the configuration, and
 * hosts are lost in one way or another just behind an acknowledgement.
 */
export class ConfigurationDay {
  #seed: number;
  #shape: ConfigurationShape;
  #system: ChangingSystem;
  #runDelays = new RunDelayWatch(() => this.#system.cluster.listProcesses());
  #record: ConfigurationRecord;

  constructor(
    seed: number,
    shape: ConfigurationShape = CONFIGURATION_SHAPES.small,
  ) {
    this.#seed = seed;
    this.#shape = shape;
    const { gateways, controlHosts, bounds } = shape;
    this.#system = new ChangingSystem({
      engines: 1,
      gateways,
      controlHosts,
      shape,
    });
    this.#record = createRecord(bounds);
  }

  async run(rounds = ROUNDS): Promise<ConfigurationDayResult> {
    const system = this.#system;
    let keepLogs = true;
    try {
      await system.start();
      await this.#sendFirst();
      this.#runDelays.start();
      const troubles = await this.#play(rounds);
      this.#addRunDelays();
      const result = this.#buildResult(troubles);
      keepLogs = result.faults.length > 0;
      return result;
    } finally {
      this.#runDelays.stop();
      await system.stop({ keepLogs });
    }
  }

  /** Sends the first version that bears marks, and waits until it is obeyed. */
  async #sendFirst(): Promise<void> {
    const { cluster, gatewayNames } = this.#system;
    const change = this.#buildChange(FIRST_VERSION, 0);
    const document = this.#system.buildDocument(FIRST_VERSION, change);
    this.#record.documents.set(FIRST_VERSION, [document]);
    const isAccepted = () => this.#system.configure(FIRST_VERSION, change);
    await waitUntil(isAccepted, READ_BACK_MILLISECONDS);
    const at = performance.now();
    this.#record.acknowledgements.push({ version: FIRST_VERSION, at });
    const line = `event=routing-in-force version=${FIRST_VERSION} `;
    const isObeyed = () =>
      gatewayNames.every((name) =>
        cluster.findHost(name).child.output.includes(line)
      );
    await waitUntil(isObeyed, READ_BACK_MILLISECONDS);
  }

  async #play(rounds: number): Promise<string[]> {
    const system = this.#system;
    const record = this.#record;
    const controlUrls = [...system.cluster.controlUrls];
    const operator = new ConfigurationOperator({
      controlUrls,
      buildDocument: (version, by) =>
        system.buildDocument(version, this.#buildChange(version, by)),
      record,
      random: this.#createRandom("operator"),
    });
    const { apply, contact } = record.bounds;
    const clients = new ConfigurationClients({ system, operator, record });
    const troubles = new ConfigurationTroubles({
      system,
      record,
      controlUrls,
      shape: this.#shape,
      random: this.#createRandom("troubles"),
    });
    const running = [
      operator.sendChanges(CHANGE_INTERVAL_MILLISECONDS),
      operator.readBack(),
      clients.run(),
    ];
    const random = this.#createRandom("delays");
    const span = MAX_DELAY_MILLISECONDS - MIN_DELAY_MILLISECONDS;
    for (let round = 0; round <= rounds; round += 1) {
      await Promise.race([
        operator.nextAcknowledgement(),
        sleep(READ_BACK_MILLISECONDS),
      ]);
      await sleep(MIN_DELAY_MILLISECONDS + random() * span);
      if (round === rounds) await troubles.loseAllPower();
      else await troubles.make();
      await sleep(apply + contact + CALM_MARGIN_MILLISECONDS);
    }
    operator.stop();
    clients.stop();
    await Promise.all(running);
    return troubles.names;
  }

  /** A host whose process waits for a processor is slowed. */
  #addRunDelays(): void {
    const { gatewayNames, gatewayIps } = this.#system;
    for (const { process, from, to } of this.#runDelays.delays) {
      if (process === LOCAL) continue;
      const gateway = gatewayIps[gatewayNames.indexOf(process)];
      const isCore = process.startsWith("control");
      const hosts = gateway === undefined ? [] : [gateway];
      this.#record.absences.push({ hosts, isCore, from, to, isTrouble: false });
    }
  }

  #buildResult(troubles: string[]): ConfigurationDayResult {
    const record = this.#record;
    const { acknowledgements, reads, observations } = record;
    const waits = this.#listReadWaits();
    const shown = observations.filter(({ atLeast, olderThan }) =>
      atLeast !== undefined || olderThan !== undefined
    );
    return {
      seed: this.#seed,
      troubles,
      acknowledged: acknowledgements.length,
      read: reads.filter(({ document }) => document !== undefined).length,
      shown: shown.length,
      judged:
        shown.filter(({ gateway, from }) => isInTouch(record, gateway, from))
          .length,
      readAfterMilliseconds: Math.round(Math.max(...waits)),
      faults: [
        ...findConfigurationFaults(record),
        ...waits.filter((wait) => wait > READ_BACK_MILLISECONDS).map((wait) =>
          `the configuration could not be read for ${wait.toFixed(0)} ms`
        ),
      ],
    };
  }

  /** From the end of each trouble until the next answered read. */
  #listReadWaits(): number[] {
    const { absences, reads } = this.#record;
    return absences.filter(({ isTrouble }) => isTrouble).map(({ to }) =>
      Math.min(
        ...reads.filter(({ from, document }) =>
          document !== undefined && from > to
        ).map((read) => read.to),
        performance.now(),
      ) - to
    );
  }

  #buildChange(version: number, operator: number) {
    const { extraRoutes } = this.#shape;
    return { ...buildMarkedChange(version, operator), extraRoutes };
  }

  #createRandom(task: string): () => number {
    return createSeededRandom(
      hashText(`configuration ${this.#seed} ${task}`),
    );
  }
}

function createRecord(bounds: ConfigurationBounds): ConfigurationRecord {
  return {
    bounds,
    documents: new Map(),
    invalidVersions: new Set(),
    acknowledgements: [],
    wrongAnswers: [],
    reads: [],
    observations: [],
    requests: [],
    absences: [],
  };
}
