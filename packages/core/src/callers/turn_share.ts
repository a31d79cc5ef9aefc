/** Parts that all readers together may take in a turn; a few milliseconds. */
const MAX_PARTS = 1_024;
/** Readers that have taken no more are proper callers, and wait for nobody. */
const LIGHT_PARTS = 64;

/**
 * What reading bodies may take of a turn of the event loop. Bodies in chunks of a
 * byte bring thousands of parts in a packet: read as they come, those of a crowd
 * keep a process from all else for seconds. Once a turn is spent all readers
 * wait; the light ones go on in the next, with one of the others.
 */
export class TurnShare<Reader> {
  #spent = 0;
  #partsOf = new Map<Reader, number>();

  get isSpent(): boolean {
    return this.#spent >= MAX_PARTS;
  }

  countPart(reader: Reader): void {
    this.#spent += 1;
    this.#partsOf.set(reader, this.#countOf(reader) + 1);
  }

  forget(reader: Reader): void {
    this.#partsOf.delete(reader);
  }

  /** Begins a turn; returns those of the waiting readers that go on in it. */
  beginTurn(waiting: Iterable<Reader>): Reader[] {
    this.#spent = 0;
    const going: Reader[] = [];
    let least: Reader | undefined;
    for (const reader of waiting) {
      if (this.#countOf(reader) <= LIGHT_PARTS) going.push(reader);
      else if (
        least === undefined || this.#countOf(reader) < this.#countOf(least)
      ) least = reader;
    }
    return least === undefined ? going : [...going, least];
  }

  #countOf(reader: Reader): number {
    return this.#partsOf.get(reader) ?? 0;
  }
}
