import { findFreeAddresses } from "./find_free_addresses.ts";
import { Relay } from "./relay.ts";

type Endpoint = { name: string; dataCentre: string; internal: string };

type Link = { from: Endpoint; to: Endpoint; relay: Relay };

/** One relay per direction between processes of different data centres. */
export class RelayMesh {
  #links: Link[] = [];

  async start(endpoints: Endpoint[]): Promise<void> {
    const pairs = endpoints.flatMap((from) =>
      endpoints
        .filter((to) => to.dataCentre !== from.dataCentre)
        .map((to) => ({ from, to }))
    );
    const addresses = await findFreeAddresses(pairs.length);
    this.#links = pairs.map((pair, index) => ({
      ...pair,
      relay: new Relay(addresses[index]!, pair.to.internal),
    }));
    await Promise.all(this.#links.map(({ relay }) => relay.start()));
  }

  /**
   * The setting internal.dial of a process. Maps the internal address of each
   * process in another data centre to the relay through which to connect to it.
   */
  dialOverridesFor(name: string): Record<string, string> {
    return Object.fromEntries(
      this.#links
        .filter(({ from }) => from.name === name)
        .map(({ to, relay }) => [to.internal, relay.address]),
    );
  }

  /**
   * Partitions a data centre from all others. With "cut" connections break,
   * with "silent" they stay open and carry no data.
   */
  cutOff(dataCentre: string, mode: "cut" | "silent"): void {
    for (const { relay } of this.#linksAcrossBoundary(dataCentre)) {
      if (mode === "cut") relay.cut();
      else relay.silence();
    }
  }

  /** Breaks only connections that processes of the data centre open. */
  cutOutgoing(dataCentre: string): void {
    for (const { from, relay } of this.#links) {
      if (from.dataCentre === dataCentre) relay.cut();
    }
  }

  heal(): void {
    for (const { relay } of this.#links) relay.heal();
  }

  /** Stops forwarding on open connections for good; new ones work. */
  silenceOpenConnections(): void {
    for (const { relay } of this.#links) relay.silenceOpenConnections();
  }

  stop(): void {
    for (const { relay } of this.#links) relay.stop();
  }

  #linksAcrossBoundary(dataCentre: string): Link[] {
    return this.#links.filter(({ from, to }) =>
      from.dataCentre === dataCentre || to.dataCentre === dataCentre
    );
  }
}
