import type { ConfigurationChange } from "./build_configuration.ts";
import { performance } from "node:perf_hooks";
import type { EndToEndSystem } from "./end_to_end_system.ts";

const FREEZE_MILLISECONDS = 1_500;
/** The load balancer takes a gateway out after two failed checks. */
const BALANCER_MILLISECONDS = 2_000;
const READY_POLL_MILLISECONDS = 50;
const MAX_READY_MILLISECONDS = 10_000;
/** The clients of a process that has ended see it this much later. */
const END_NOTICE_MILLISECONDS = 100;
const MAX_CHANGE_GAP_MILLISECONDS = 2_000;
const MAX_TROUBLE_GAP_MILLISECONDS = 2_500;
/** Gateways with troubles at the same time. */
const MAX_TROUBLED = 4;
const TIMEOUTS = [8_000, 9_000, 10_000];
const IDLE_TIMEOUTS = [3_000, 5_000, 8_000];
const HEADER_TIMEOUTS = [1_000, 2_000];
const MAX_HEADER_BYTES = [8_192, 16_384, 32_768];
const MAX_EXTRA_ROUTES = 3;
const REPEATED_KILLS = 4;
const REPEATED_KILL_GAP_MILLISECONDS = 1_000;

type Span = { gateway: string; from: number; to: number };
type Options = {
  system: EndToEndSystem;
  /** Creates the random numbers of one concurrent task. */
  createRandom: (task: string) => () => number;
  /** Whether gateways are also killed again and again. */
  repeatsKills?: boolean;
};

/** Planned and unplanned work beside the silences of a day. */
export class SilenceTroubles {
  readonly kills: Span[] = [];
  readonly freezes: Span[] = [];
  readonly stops: Span[] = [];
  /** Spans in which most control hosts stood still. */
  readonly controlCuts: { from: number; to: number }[] = [];
  readonly names: string[] = [];
  /** Gateways that get no new connections. */
  readonly out = new Set<string>();
  #options: Options;
  #troubled = new Set<string>();
  #version = 1;
  #weights = 1;

  constructor(options: Options) {
    this.#options = options;
  }

  async run(milliseconds: number): Promise<void> {
    const endAt = performance.now() + milliseconds;
    await Promise.all([
      this.#changeConfigurations(endAt),
      this.#makeTroubles(endAt),
    ]);
  }

  async #changeConfigurations(endAt: number): Promise<void> {
    const random = this.#options.createRandom("configurations");
    let changes: ConfigurationChange = {};
    while (performance.now() < endAt) {
      await sleep(MAX_CHANGE_GAP_MILLISECONDS * random());
      const change = pick<ConfigurationChange>([
        {},
        { routeTimeoutMilliseconds: pick(TIMEOUTS, random) },
        { limits: { idleTimeoutMs: pick(IDLE_TIMEOUTS, random) } },
        { limits: { headerTimeoutMs: pick(HEADER_TIMEOUTS, random) } },
        { limits: { maxHeaderBytes: pick(MAX_HEADER_BYTES, random) } },
        { extraRoutes: Math.floor(random() * (MAX_EXTRA_ROUTES + 1)) },
      ], random);
      const limits = { ...changes.limits, ...change.limits };
      changes = { ...changes, ...change, limits };
      this.#version += 1;
      const [field = "same"] = Object.keys({ ...change, ...change.limits })
        .filter((name) => name !== "limits");
      this.names.push(`configuration (${field})`);
      await this.#options.system.configure(this.#version, changes);
    }
  }

  async #makeTroubles(endAt: number): Promise<void> {
    const { system, createRandom, repeatsKills = false } = this.#options;
    const random = createRandom("troubles");
    const underWay: Promise<void>[] = [];
    while (performance.now() < endAt) {
      await sleep(MAX_TROUBLE_GAP_MILLISECONDS * random());
      const index = Math.floor(random() * system.gatewayIps.length);
      underWay.push(
        pick([
          () => this.#stop(index),
          () => this.#stop(index),
          () => this.#kill(index),
          () => this.#freezeGateway(index),
          () => this.#reload(index),
          () => this.#freezeControlHosts(),
          () => this.#nameWeights(),
          ...(repeatsKills ? [() => this.#killRepeatedly(index)] : []),
        ], random)(),
      );
    }
    await Promise.all(underWay);
  }

  async #stop(index: number): Promise<void> {
    await this.#trouble(index, "planned stop", async (name, gateway) => {
      const { cluster } = this.#options.system;
      const from = performance.now();
      const stop = { gateway, from, to: Infinity };
      this.stops.push(stop);
      const { exited } = cluster.findHost(name).child;
      exited.then(() => {
        stop.to = performance.now() + END_NOTICE_MILLISECONDS;
      });
      const restarted = cluster.restartGracefully(name);
      await sleep(BALANCER_MILLISECONDS);
      this.out.add(gateway);
      await restarted;
      await this.#takeIn(gateway);
    });
  }

  async #kill(index: number): Promise<void> {
    await this.#trouble(
      index,
      "gateway killed",
      (name, gateway) => this.#killOnce(name, gateway),
    );
  }

  async #killRepeatedly(index: number): Promise<void> {
    const what = "gateway killed again and again";
    await this.#trouble(index, what, async (name, gateway) => {
      for (let count = 0; count < REPEATED_KILLS; count += 1) {
        await this.#killOnce(name, gateway);
        await sleep(REPEATED_KILL_GAP_MILLISECONDS);
      }
    });
  }

  async #killOnce(name: string, gateway: string): Promise<void> {
    const { cluster } = this.#options.system;
    this.out.add(gateway);
    const kill = { gateway, from: performance.now(), to: Infinity };
    this.kills.push(kill);
    const { exited } = cluster.findHost(name).child;
    exited.then(() => {
      kill.to = performance.now() + END_NOTICE_MILLISECONDS;
    });
    await cluster.restart([name]);
    await this.#takeIn(gateway);
  }

  async #freezeGateway(index: number): Promise<void> {
    await this.#trouble(index, "gateway frozen", async (name, gateway) => {
      const from = performance.now();
      const freeze = { gateway, from, to: Infinity };
      this.freezes.push(freeze);
      await this.#freeze([name]);
      freeze.to = performance.now();
    });
  }

  async #reload(index: number): Promise<void> {
    await this.#trouble(index, "reload", (name) => {
      this.#options.system.cluster.reload(name);
      return Promise.resolve();
    });
  }

  async #freezeControlHosts(): Promise<void> {
    this.names.push("control hosts cut off");
    const cut = { from: performance.now(), to: Infinity };
    this.controlCuts.push(cut);
    await this.#freeze(this.#options.system.controlNames.slice(1));
    cut.to = performance.now();
  }

  async #nameWeights(): Promise<void> {
    this.names.push("new weights");
    this.#weights += 1;
    await this.#options.system.nameWeights(this.#weights);
  }

  /** Does nothing if the gateway, or many others, have a trouble already. */
  async #trouble(
    index: number,
    what: string,
    inject: (name: string, gateway: string) => Promise<void>,
  ): Promise<void> {
    const { gatewayIps, gatewayNames } = this.#options.system;
    const gateway = gatewayIps[index]!;
    const isFull = this.#troubled.size >= MAX_TROUBLED;
    if (isFull || this.#troubled.has(gateway)) return;
    this.#troubled.add(gateway);
    this.names.push(what);
    await inject(gatewayNames[index]!, gateway);
    this.#troubled.delete(gateway);
  }

  async #freeze(names: string[]): Promise<void> {
    const { cluster } = this.#options.system;
    const children = names.map((name) => cluster.findHost(name).child);
    for (const child of children) child.signal("SIGSTOP");
    await sleep(FREEZE_MILLISECONDS);
    for (const child of children) child.signal("SIGCONT");
  }

  async #takeIn(gateway: string): Promise<void> {
    const until = performance.now() + MAX_READY_MILLISECONDS;
    while (!await this.#options.system.isReady(gateway)) {
      if (performance.now() > until) return;
      await sleep(READY_POLL_MILLISECONDS);
    }
    this.out.delete(gateway);
  }
}

function pick<Value>(values: readonly Value[], random: () => number): Value {
  return values[Math.floor(random() * values.length)]!;
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
