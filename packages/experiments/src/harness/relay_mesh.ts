import { freeAddresses } from "./free_addresses.ts";
import { Relay } from "./relay.ts";

type Place = { name: string; dataCentre: string; internal: string };

type Link = { from: Place; to: Place; relay: Relay };

/** A relay for each direction between processes of different data centres. */
export class RelayMesh {
  #links: Link[] = [];

  async start(places: Place[]): Promise<void> {
    const pairs = places.flatMap((from) =>
      places
        .filter((to) => to.dataCentre !== from.dataCentre)
        .map((to) => ({ from, to }))
    );
    const addresses = await freeAddresses(pairs.length);
    this.#links = pairs.map((pair, index) => ({
      ...pair,
      relay: new Relay(addresses[index]!, pair.to.internal),
    }));
    await Promise.all(this.#links.map(({ relay }) => relay.start()));
  }

  /** What a process has to dial instead, for its settings. */
  dialFor(name: string): Record<string, string> {
    return Object.fromEntries(
      this.#links
        .filter(({ from }) => from.name === name)
        .map(({ to, relay }) => [to.internal, relay.address]),
    );
  }

  /** Cuts a data centre off: connections break, or nobody is told. */
  cutOff(dataCentre: string, how: "cut" | "silent"): void {
    for (const { relay } of this.#crossing(dataCentre)) {
      if (how === "cut") relay.cut();
      else relay.silence();
    }
  }

  /** Cuts only what is dialled from the data centre. */
  cutOutgoing(dataCentre: string): void {
    for (const { from, relay } of this.#links) {
      if (from.dataCentre === dataCentre) relay.cut();
    }
  }

  heal(): void {
    for (const { relay } of this.#links) relay.heal();
  }

  /** Open connections go silent for good, while new ones work. */
  silenceOld(): void {
    for (const { relay } of this.#links) relay.silenceOld();
  }

  stop(): void {
    for (const { relay } of this.#links) relay.stop();
  }

  #crossing(dataCentre: string): Link[] {
    return this.#links.filter(({ from, to }) =>
      from.dataCentre === dataCentre || to.dataCentre === dataCentre
    );
  }
}
