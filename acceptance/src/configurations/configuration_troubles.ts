import { waitUntil } from "@teaselrouter/experiments/harness/wait_until.ts";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { EndToEndSystem } from "../end_to_end_system.ts";
import type { ConfigurationRecord } from "./configuration_record.ts";
import type { ConfigurationShape } from "./configuration_shape.ts";

const MAX_AWAY_MILLISECONDS = 1_500;
const MIN_FREEZE_MILLISECONDS = 300;
const MAX_FREEZE_MILLISECONDS = 3_000;
const STARTED = "event=started";
const START_TIMEOUT_MILLISECONDS = 20_000;
const LEADING = /event=leading term=(\d+)/g;

type Options = {
  system: EndToEndSystem;
  record: ConfigurationRecord;
  /** Shared with the operator. */
  controlUrls: string[];
  shape: ConfigurationShape;
  random: () => number;
};

type Kind =
  | "kill"
  | "stop"
  | "freeze"
  | "freeze two"
  | "kill all control"
  | "lose disk"
  | "lose disk, kill other control"
  | "lose disk, kill all"
  | "replace"
  | "replace, lose disk"
  | "kill gateway"
  | "freeze gateway"
  | "lose two disks"
  | "lose two disks, kill all"
  | "lose two disks behind a kill"
  | "exchange seeds"
  | "exchange seeds, kill gateways";

const KINDS: Kind[] = [
  "kill",
  "stop",
  "freeze",
  "freeze two",
  "kill all control",
  "lose disk",
  "lose disk, kill other control",
  "lose disk, kill all",
  "replace",
  "replace, lose disk",
  "kill gateway",
  "freeze gateway",
];

/** Only where two control hosts may be lost at once. */
const KINDS_OF_TWO: Kind[] = [
  "lose two disks",
  "lose two disks, kill all",
  "lose two disks behind a kill",
  "exchange seeds",
  "exchange seeds, kill gateways",
];

/** What happens to the hosts of a day, one trouble at a time. */
export class ConfigurationTroubles {
  /** What was done, in order. */
  readonly names: string[] = [];
  #options: Options;
  #controlNames: string[];
  #kinds: Kind[];

  constructor(options: Options) {
    this.#options = options;
    this.#controlNames = options.system.controlNames;
    this.#kinds = options.shape.toleratedLosses < 2
      ? KINDS
      : [...KINDS, ...KINDS_OF_TWO];
  }

  /** Draws a trouble; resolves when all hosts run again. */
  async make(): Promise<void> {
    const { system, random } = this.#options;
    const { cluster } = system;
    const kind = this.#kinds[Math.floor(random() * this.#kinds.length)]!;
    const host = random() < 0.6 ? this.#leader() : this.#draw();
    const others = this.#controlNames.filter((name) => name !== host);
    const awayMilliseconds = random() * MAX_AWAY_MILLISECONDS;
    const gateway = Math.floor(random() * system.gatewayIps.length);
    this.names.push(`${kind} ${host}`);
    switch (kind) {
      case "kill":
        return await this.#core(() =>
          cluster.restart([host], { awayMilliseconds })
        );
      case "stop":
        return await this.#core(() => cluster.restartGracefully(host));
      case "freeze":
        return await this.#core(() => this.#freeze([host]));
      case "freeze two":
        return await this.#core(() => this.#freeze([host, others[0]!]));
      case "kill all control":
        return await this.#core(() =>
          cluster.restart(this.#controlNames, { awayMilliseconds })
        );
      case "lose disk":
        return await this.#core(() =>
          cluster.restart([host], { awayMilliseconds, lostDisks: [host] })
        );
      case "lose disk, kill other control":
        return await this.#core(() =>
          cluster.restart([host, ...others], {
            awayMilliseconds,
            lostDisks: [host],
          })
        );
      case "lose disk, kill all":
        return await this.#core(
          () =>
            cluster.restart([host, ...others, ...system.gatewayNames], {
              awayMilliseconds,
              lostDisks: [host],
            }),
          system.gatewayIps,
        );
      case "replace":
        return await this.#core(() => this.#replace(host));
      case "replace, lose disk":
        return await this.#core(async () => {
          await this.#replace(host);
          await cluster.restart(this.#controlNames, {
            awayMilliseconds,
            lostDisks: [others[0]!],
          });
        });
      case "kill gateway":
        return await this.#absent(
          [system.gatewayIps[gateway]!],
          false,
          () =>
            cluster.restart([system.gatewayNames[gateway]!], {
              awayMilliseconds,
            }),
        );
      case "freeze gateway":
        return await this.#absent(
          [system.gatewayIps[gateway]!],
          false,
          () => this.#freeze([system.gatewayNames[gateway]!]),
        );
      case "lose two disks":
        return await this.#core(() =>
          cluster.restart([host, others[0]!], {
            awayMilliseconds,
            lostDisks: [host, others[0]!],
          })
        );
      case "lose two disks, kill all":
        return await this.#core(
          () =>
            cluster.restart([...this.#controlNames, ...system.gatewayNames], {
              awayMilliseconds,
              lostDisks: [host, others[0]!],
            }),
          system.gatewayIps,
        );
      case "lose two disks behind a kill":
        return await this.#core(async () => {
          await cluster.restart([host, others[0]!], { awayMilliseconds });
          await this.#waitForStarts();
          await sleep(this.#options.shape.catchUpMilliseconds);
          await cluster.restart(this.#controlNames, {
            lostDisks: others.slice(1, 3),
          });
        });
      case "exchange seeds":
        return this.#exchangeSeeds(system.gatewayNames);
      case "exchange seeds, kill gateways":
        this.#exchangeSeeds([]);
        return await this.#absent(
          system.gatewayIps,
          false,
          () => cluster.restart(system.gatewayNames, { awayMilliseconds }),
        );
    }
  }

  /** The seeds become the control hosts that were none; some are told so. */
  #exchangeSeeds(signalled: string[]): void {
    const { system: { cluster }, shape } = this.#options;
    this.#controlNames = [
      ...this.#controlNames.slice(shape.seeds),
      ...this.#controlNames.slice(0, shape.seeds),
    ];
    const indexes = this.#controlNames.map((name) => Number(name.slice(8)));
    cluster.exchangeSeeds(indexes.slice(0, shape.seeds), signalled);
  }

  /** Where all that has to survive must still be there. */
  async loseAllPower(): Promise<void> {
    const { system } = this.#options;
    this.names.push("kill all");
    await this.#core(
      () =>
        system.cluster.restart([...this.#controlNames, ...system.gatewayNames]),
      system.gatewayIps,
    );
  }

  /** The control host whose log says that it led last. */
  #leader(): string {
    const { cluster } = this.#options.system;
    const terms = this.#controlNames.map((name) => {
      const { output } = cluster.findHost(name).child;
      const term = [...output.matchAll(LEADING)].at(-1)?.[1] ?? 0;
      return { name, term: Number(term) };
    });
    return terms.sort((left, right) => right.term - left.term)[0]!.name;
  }

  #draw(): string {
    const { random } = this.#options;
    return this
      .#controlNames[Math.floor(random() * this.#controlNames.length)]!;
  }

  /** A control host goes for good, and one with an empty disk comes. */
  async #replace(host: string): Promise<void> {
    const { controlUrls, system: { cluster } } = this.#options;
    const indexes = this.#controlNames.map((name) => Number(name.slice(8)));
    const next = Math.max(...indexes) + 1;
    await cluster.remove(host);
    cluster.start("control", next, { bootstrap: false });
    this.#controlNames = [
      ...this.#controlNames.filter((name) => name !== host),
      `control-${next}`,
    ];
    const gone = cluster.controlUrl(Number(host.slice(8)));
    controlUrls.splice(controlUrls.indexOf(gone), 1, cluster.controlUrl(next));
    cluster.listControlHosts(
      this.#controlNames.map((name) => Number(name.slice(8))),
    );
    await this.#waitForStarts();
    await sleep(this.#options.shape.catchUpMilliseconds);
  }

  async #freeze(names: string[]): Promise<void> {
    const { random, system: { cluster } } = this.#options;
    const children = names.map((name) => cluster.findHost(name).child);
    for (const child of children) child.signal("SIGSTOP");
    const span = MAX_FREEZE_MILLISECONDS - MIN_FREEZE_MILLISECONDS;
    await sleep(MIN_FREEZE_MILLISECONDS + random() * span);
    for (const child of children) child.signal("SIGCONT");
  }

  /** On a busy machine, it takes seconds until a process runs. */
  async #waitForStarts(): Promise<void> {
    const { cluster, gatewayNames } = this.#options.system;
    const hosts = [...this.#controlNames, ...gatewayNames];
    await waitUntil(
      () =>
        hosts.every((name) =>
          cluster.findHost(name).child.output.includes(STARTED)
        ),
      START_TIMEOUT_MILLISECONDS,
    );
  }

  #core(act: () => Promise<void>, gateways: string[] = []): Promise<void> {
    return this.#absent(gateways, true, act);
  }

  async #absent(
    hosts: string[],
    isCore: boolean,
    act: () => Promise<void>,
  ): Promise<void> {
    const { record } = this.#options;
    const absence = {
      hosts,
      isCore,
      isTrouble: true,
      from: performance.now(),
      to: Infinity,
    };
    record.absences.push(absence);
    await act();
    await this.#waitForStarts();
    absence.to = performance.now();
  }
}
