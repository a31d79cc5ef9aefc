const WINDOW_MILLISECONDS = 1_000;

/** Bounds how much news a host tells in a second, whatever happens around it. */
export class NewsBudget {
  #mostPerSecond: number;
  #startedAt = -Infinity;
  #told = 0;

  constructor(mostPerSecond: number) {
    this.#mostPerSecond = mostPerSecond;
  }

  /** How many of so many may be told now; they count as told. */
  take(wanted: number, now: number): number {
    if (now - this.#startedAt >= WINDOW_MILLISECONDS) {
      this.#startedAt = now;
      this.#told = 0;
    }
    const taken = Math.min(wanted, this.#mostPerSecond - this.#told);
    this.#told += taken;
    return taken;
  }
}
