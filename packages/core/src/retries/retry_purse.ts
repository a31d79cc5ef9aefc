const INTERVALS_PER_LIFETIME = 10;

/**
 * Retries that one host has earned for one service and not spent. What was
 * earned expires: a retry is paid for by recent requests only.
 */
export class RetryPurse {
  #lifetimeMilliseconds: number;
  #intervalMilliseconds: number;
  /** Earned retries by number of the time interval, in ascending order. */
  #earned = new Map<number, number>();

  /** @param lifetimeMilliseconds longest time for which a retry is kept. */
  constructor(lifetimeMilliseconds: number) {
    this.#lifetimeMilliseconds = lifetimeMilliseconds;
    this.#intervalMilliseconds = lifetimeMilliseconds / INTERVALS_PER_LIFETIME;
  }

  /** Adds a part of a retry, or several, that were earned at `at`. */
  earn(retries: number, at: number): void {
    const interval = Math.floor(at / this.#intervalMilliseconds);
    const before = this.#earned.get(interval);
    this.#earned.set(interval, (before ?? 0) + retries);
    if (before === undefined) this.#sort();
  }

  /** Retries that may be spent now, with a fraction of the next one. */
  left(now: number): number {
    this.#expire(now);
    let sum = 0;
    for (const retries of this.#earned.values()) sum += retries;
    return sum;
  }

  hasRetry(now: number): boolean {
    return this.left(now) >= 1;
  }

  /** Spends one retry, of those that were earned first; false without one. */
  trySpend(now: number): boolean {
    if (!this.hasRetry(now)) return false;
    let due = 1;
    for (const [interval, retries] of this.#earned) {
      const part = Math.min(retries, due);
      this.#earned.set(interval, retries - part);
      due -= part;
      if (due <= 0) break;
    }
    return true;
  }

  /** A purse with the same retries, which expire at the same times. */
  copy(): RetryPurse {
    const copy = new RetryPurse(this.#lifetimeMilliseconds);
    copy.#earned = new Map(this.#earned);
    return copy;
  }

  /** All of an interval expires when its first moment does. */
  #expire(now: number): void {
    for (const interval of this.#earned.keys()) {
      const beganAt = interval * this.#intervalMilliseconds;
      if (beganAt + this.#lifetimeMilliseconds > now) break;
      this.#earned.delete(interval);
    }
  }

  /** Requests are counted late by the time that their bodies took to read. */
  #sort(): void {
    const earned = [...this.#earned];
    if (earned.length < 2 || earned.at(-2)![0] < earned.at(-1)![0]) return;
    this.#earned = new Map(earned.sort(([left], [right]) => left - right));
  }
}
