const SLOTS_PER_LIFETIME = 10;

/**
 * Retries that one host has earned for one service and not spent. What was
 * earned expires: a retry is paid for by recent requests only.
 */
export class RetryPurse {
  #lifetime: number;
  #slotMilliseconds: number;
  /** Earned retries by time slot, in ascending order. */
  #slots = new Map<number, number>();

  /** @param lifetimeMilliseconds longest time for which a retry is kept. */
  constructor(lifetimeMilliseconds: number) {
    this.#lifetime = lifetimeMilliseconds;
    this.#slotMilliseconds = lifetimeMilliseconds / SLOTS_PER_LIFETIME;
  }

  /** Adds a part of a retry, or several, that were earned at `at`. */
  earn(retries: number, at: number): void {
    const slot = Math.floor(at / this.#slotMilliseconds);
    const earned = this.#slots.get(slot);
    this.#slots.set(slot, (earned ?? 0) + retries);
    if (earned === undefined) this.#sort();
  }

  /** Retries that may be spent now, with a fraction of the next one. */
  left(now: number): number {
    this.#expire(now);
    let sum = 0;
    for (const retries of this.#slots.values()) sum += retries;
    return sum;
  }

  hasRetry(now: number): boolean {
    return this.left(now) >= 1;
  }

  /** Spends one retry, of those that were earned first; false without one. */
  trySpend(now: number): boolean {
    if (!this.hasRetry(now)) return false;
    let due = 1;
    for (const [slot, retries] of this.#slots) {
      const part = Math.min(retries, due);
      this.#slots.set(slot, retries - part);
      due -= part;
      if (due <= 0) break;
    }
    return true;
  }

  /** A purse with the same retries, which expire at the same times. */
  copy(): RetryPurse {
    const copy = new RetryPurse(this.#lifetime);
    copy.#slots = new Map(this.#slots);
    return copy;
  }

  /** A slot expires when the first that it may hold does. */
  #expire(now: number): void {
    for (const slot of this.#slots.keys()) {
      if (slot * this.#slotMilliseconds + this.#lifetime > now) break;
      this.#slots.delete(slot);
    }
  }

  /** Requests are counted late by the time that their bodies took to read. */
  #sort(): void {
    const slots = [...this.#slots];
    if (slots.length < 2 || slots.at(-2)![0] < slots.at(-1)![0]) return;
    this.#slots = new Map(slots.sort(([left], [right]) => left - right));
  }
}
