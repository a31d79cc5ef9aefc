import { performance } from "node:perf_hooks";
import type { EndToEndSystem } from "../end_to_end_system.ts";
import type { HostSpan } from "./host_span.ts";

type Options = { system: EndToEndSystem; random: () => number };

/** Kills, freezes, stops and restarts processes, and records when. */
export class LeavingTroubles {
  readonly spans: HostSpan[] = [];
  /** What was done, in order. */
  readonly names: string[] = [];
  #options: Options;
  #out = new Set<string>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** Hosts that are up, so that something can be done to them. */
  isUp(name: string): boolean {
    return !this.#out.has(name);
  }

  /** Kills hosts at once; they start again after some time. */
  async kill(names: string[], downMilliseconds: number): Promise<void> {
    const { cluster } = this.#options.system;
    const killed = names.filter((name) => this.isUp(name));
    for (const name of killed) {
      cluster.findHost(name).child.signal("SIGKILL");
    }
    await this.#take(killed, "kill", async () => {
      await sleep(downMilliseconds);
      await cluster.restart(killed);
    });
  }

  async freeze(name: string, milliseconds: number): Promise<void> {
    if (!this.isUp(name)) return;
    const { child } = this.#options.system.cluster.findHost(name);
    await this.#take([name], "freeze", async () => {
      child.signal("SIGSTOP");
      await sleep(milliseconds);
      child.signal("SIGCONT");
    });
  }

  async restartGracefully(name: string): Promise<void> {
    if (!this.isUp(name)) return;
    await this.#take(
      [name],
      "stop",
      () => this.#options.system.cluster.restartGracefully(name),
    );
  }

  /** Gateways join, stop, stand still and read their settings again. */
  async troubleGateways(milliseconds: number): Promise<void> {
    const { random, system } = this.#options;
    const endAt = performance.now() + milliseconds;
    const running: Promise<void>[] = [];
    while (performance.now() < endAt) {
      await sleep(1_000 + random() * 3_000);
      const { gatewayNames } = system;
      const name = gatewayNames[Math.floor(random() * gatewayNames.length)]!;
      running.push(this.#troubleGateway(name, random()));
    }
    await Promise.all(running);
  }

  async #troubleGateway(name: string, kind: number): Promise<void> {
    const { random, system } = this.#options;
    if (!this.isUp(name)) return;
    if (kind < 0.3) return await this.kill([name], random() * 1_500);
    if (kind < 0.5) return await this.restartGracefully(name);
    if (kind < 0.8) return await this.freeze(name, 300 + random() * 2_000);
    this.names.push(`reload ${name}`);
    system.cluster.reload(name);
  }

  async #take(
    names: string[],
    kind: string,
    act: () => Promise<void>,
  ): Promise<void> {
    if (names.length === 0) return;
    this.names.push(`${kind} ${names.join(" ")}`);
    const taken = names.map((name) => ({
      name,
      from: performance.now(),
      to: Infinity,
    }));
    this.spans.push(...taken);
    for (const name of names) this.#out.add(name);
    try {
      await act();
    } finally {
      for (const span of taken) span.to = performance.now();
      for (const name of names) this.#out.delete(name);
    }
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
