/** With less, one early request would look like a high rate. */
const MIN_SEEN_MILLISECONDS = 500;

/** After so many windows the start makes no difference. */
const FULL_WINDOWS = 8;

/**
 * Rate of something that is counted, per millisecond, over about the last
 * `windowMilliseconds`. Right from the first second on: the time before
 * `startedAt` doesn't enter.
 */
export class DecayingRate {
  #windowMilliseconds: number;
  #startedAt: number;
  #sum = 0;
  #updatedAt: number;

  /** @param startedAt since when counts would have come, monotonic ms. */
  constructor(windowMilliseconds: number, startedAt: number) {
    this.#windowMilliseconds = windowMilliseconds;
    this.#startedAt = startedAt;
    this.#updatedAt = startedAt;
  }

  add(amount: number, now: number): void {
    this.#decay(now);
    this.#sum += amount;
  }

  at(now: number): number {
    this.#decay(now);
    const window = this.#windowMilliseconds;
    const seen = Math.max(MIN_SEEN_MILLISECONDS, now - this.#startedAt);
    if (seen > FULL_WINDOWS * window) return this.#sum / window;
    return this.#sum / (window * (1 - Math.exp(-seen / window)));
  }

  #decay(now: number): void {
    const elapsed = now - this.#updatedAt;
    if (elapsed <= 0) return;
    this.#sum *= Math.exp(-elapsed / this.#windowMilliseconds);
    this.#updatedAt = now;
  }
}
