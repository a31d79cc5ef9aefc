import { setTimeout as sleep } from "node:timers/promises";
import type { EndToEndSystem } from "../end_to_end_system.ts";
import { freezeHost } from "../freeze_host.ts";
import type { Absence } from "./absence.ts";
import type { PowerLoss } from "./power_loss.ts";

const POLL_MILLISECONDS = 10;
/** From the end of a trouble until its gateways are in touch. */
const PROPAGATION_MILLISECONDS = 3_000;

/** `to` is Infinity until the disruption is over. */
type Disruption = { from: number; to: number; gateways: string[] };

/** What happens to the hosts of a day, and which gateways it disrupts. */
export class HostTroubles {
  #system: EndToEndSystem;
  #milliseconds: number;
  #disruptions: Disruption[] = [];

  /** `milliseconds` is how long a trouble waits for its moment. */
  constructor(
    system: EndToEndSystem,
    { milliseconds }: { milliseconds: number },
  ) {
    this.#system = system;
    this.#milliseconds = milliseconds;
  }

  /** Disrupts gateways by `inject`, until it resolves. */
  async disrupt(
    gateways: string[],
    inject: () => Promise<unknown>,
  ): Promise<void> {
    const active = { from: performance.now(), to: Infinity, gateways };
    this.#disruptions.push(active);
    await inject();
    active.to = performance.now();
  }

  /** Hosts lose power, one time after the other. */
  async losePower(losses: PowerLoss[]): Promise<void> {
    const { gatewayNames, controlNames, gatewayIps, cluster } = this.#system;
    for (const loss of losses) {
      await this.#awaitCrash(loss);
      const { hosts } = loss;
      // Without control hosts no gateway is in touch.
      await this.disrupt(
        gatewayIps,
        () =>
          hosts === "all" ? this.#system.restartAll() : cluster.restart(
            hosts === "control" ? controlNames : gatewayNames,
          ),
      );
    }
  }

  /** Gateways are away for a while, some at a time. */
  async keepAway(absences: Absence[]): Promise<void> {
    const { gatewayNames, gatewayIps, cluster } = this.#system;
    for (const absence of absences) {
      await this.#awaitCrash(absence);
      const { gateways, milliseconds, how } = absence;
      const names = gatewayNames.slice(0, gateways);
      await this.disrupt(
        gatewayIps.slice(0, gateways),
        () =>
          how === "killed"
            ? cluster.restart(names, { awayMilliseconds: milliseconds })
            : Promise.all(
              names.map((name) => freezeHost(this.#system, name, milliseconds)),
            ),
      );
    }
  }

  /** Whether the gateway was disrupted at some time in the 3 s before `at`. */
  isDisrupted(gateway: string, at: number): boolean {
    return this.#disruptions.some(({ from, to, gateways }) =>
      gateways.includes(gateway) && at > from &&
      at < to + PROPAGATION_MILLISECONDS
    );
  }

  async #awaitCrash(
    { behindCrash, delay }: { behindCrash: number; delay: number },
  ): Promise<void> {
    const until = performance.now() + this.#milliseconds;
    const { engines } = this.#system;
    const crashes = () =>
      engines.reduce((sum, { crashCount }) => sum + crashCount, 0);
    while (crashes() < behindCrash && performance.now() < until) {
      await sleep(POLL_MILLISECONDS);
    }
    await sleep(delay);
  }
}
