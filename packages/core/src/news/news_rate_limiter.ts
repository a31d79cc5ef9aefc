const WINDOW_MILLISECONDS = 1_000;

/**
 * Limits the updates that a host sends per second, in fixed windows, even when
 * an incident causes many more.
 */
export class NewsRateLimiter {
  #maxPerSecond: number;
  #windowStartedAt = -Infinity;
  #sentInWindow = 0;

  constructor(maxPerSecond: number) {
    this.#maxPerSecond = maxPerSecond;
  }

  /**
   * Returns how many of `requested` updates may be sent now, and counts them.
   */
  take(requested: number, now: number): number {
    if (now - this.#windowStartedAt >= WINDOW_MILLISECONDS) {
      this.#windowStartedAt = now;
      this.#sentInWindow = 0;
    }
    const granted = Math.min(
      requested,
      this.#maxPerSecond - this.#sentInWindow,
    );
    this.#sentInWindow += granted;
    return granted;
  }
}
