import type { HeldBody } from "./held_body.ts";

type Entry = {
  bytes: number;
  openedAt: number;
  giveUp: () => void;
};

/**
 * Room for the bodies of requests that a process holds at once. Bodies pile up
 * before backend servers that read slowly, and behind clients that send slowly
 * or stop short of the end. Where room is short, the body that has taken most
 * for longest and hasn't arrived goes, whoever asks: those of proper callers
 * arrive soon.
 */
export class BodyRoom {
  #maximumBytes: number;
  #bytes = 0;
  /** Of these, those of bodies that haven't arrived. */
  #incompleteBytes = 0;
  #incomplete = new Set<Entry>();

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Whether so many bytes could be held if all bodies that haven't arrived were
   * given up.
   */
  couldHold(bytes: number): boolean {
    const kept = this.#bytes - this.#incompleteBytes;
    return kept + bytes <= this.#maximumBytes;
  }

  /** @param giveUp called when the body has to go for others; releases it. */
  open(now: number, giveUp: () => void): HeldBody {
    const entry = { bytes: 0, openedAt: now, giveUp };
    this.#incomplete.add(entry);
    return {
      tryGrow: (bytes, at) => this.#tryGrow(entry, bytes, at),
      complete: () => this.#complete(entry),
      release: () => this.#release(entry),
    };
  }

  #tryGrow(entry: Entry, bytes: number, now: number): boolean {
    while (this.#bytes + bytes > this.#maximumBytes) {
      const victim = this.#findCostliest(now);
      if (victim === undefined || victim === entry) return false;
      this.#release(victim);
      victim.giveUp();
    }
    entry.bytes += bytes;
    this.#bytes += bytes;
    this.#incompleteBytes += bytes;
    return true;
  }

  #complete(entry: Entry): void {
    if (!this.#incomplete.delete(entry)) return;
    this.#incompleteBytes -= entry.bytes;
  }

  #findCostliest(now: number): Entry | undefined {
    let costliest: Entry | undefined;
    let mostCost = 0;
    for (const entry of this.#incomplete) {
      const cost = entry.bytes * (now - entry.openedAt);
      if (cost <= mostCost) continue;
      [costliest, mostCost] = [entry, cost];
    }
    return costliest;
  }

  #release(entry: Entry): void {
    this.#complete(entry);
    this.#bytes -= entry.bytes;
    entry.bytes = 0;
  }
}
