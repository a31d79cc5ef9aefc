const INITIAL_MILLISECONDS = 50;
/** Weight of the latest call in the moving average. */
const MAX_WEIGHT = 0.05;
/** Weight of all calls that run at once, together. */
const ROUND_WEIGHT = 0.4;
/** Calls after which the usual time is known. */
const LEARNING_CALLS = 20;
/** A call counts as no longer than this multiple of the usual time. */
const MAX_RATIO = 3;

/**
 * Estimates how long a call takes at a backend server.
 *
 * Load pattern: the server stands still for a second or two and goes on. All its
 * running calls end late, at once, and many wait, which will run as fast as ever.
 * A plain average would take them for ten times as long and have them refused.
 * Where calls have become that slow for good, the estimate follows within a few
 * rounds of calls.
 */
export class ServiceTimeEstimate {
  #milliseconds = INITIAL_MILLISECONDS;
  #recordedCalls = 0;

  get milliseconds(): number {
    return this.#milliseconds;
  }

  /** @param slots calls that the server runs at once. */
  record(milliseconds: number, slots: number): void {
    this.#recordedCalls += 1;
    const counted = this.#recordedCalls <= LEARNING_CALLS
      ? milliseconds
      : Math.min(milliseconds, MAX_RATIO * this.#milliseconds);
    const weight = Math.min(MAX_WEIGHT, ROUND_WEIGHT / slots);
    this.#milliseconds += weight * (counted - this.#milliseconds);
  }
}
