/** From this share of its memory on, a process doesn't put collecting off. */
const PRESSING_SHARE = 0.5;
/** A collection takes some tens of milliseconds. */
const MIN_INTERVAL_MILLISECONDS = 500;

/**
 * When garbage is to be collected though the runtime would put it off: it knows
 * the memory of the whole machine at best, not what this process may use. Crowds
 * leave hundreds of megabytes of it in seconds.
 */
export class CollectionClock {
  #pressingBytes: number;
  #collectedAt = -Infinity;

  constructor(memoryBytes: number) {
    this.#pressingBytes = memoryBytes * PRESSING_SHARE;
  }

  /** Whether room is short with so many bytes resident. */
  isPressing(residentBytes: number): boolean {
    return residentBytes >= this.#pressingBytes;
  }

  /** Whether to collect now, with so many bytes resident. */
  isDue(residentBytes: number, now: number): boolean {
    if (!this.isPressing(residentBytes)) return false;
    if (now - this.#collectedAt < MIN_INTERVAL_MILLISECONDS) return false;
    this.#collectedAt = now;
    return true;
  }
}
