/** Longest pause between two observations of a process that runs. */
const MAX_PAUSE_MILLISECONDS = 1_000;
/**
 * Time after a pause in which news that has arrived meanwhile is read, behind
 * the requests that have.
 */
const CATCH_UP_MILLISECONDS = 500;
/** Control hosts are replaced by others within this time. */
const MAX_CONTACT_AGE_MILLISECONDS = 3_000;

/**
 * Whether this process knows what control hosts know: not after a pause, until
 * it has caught up, nor while it can reach none of them.
 */
export class NewsWatch {
  #timeOfDay: () => number;
  #observedAt: number | undefined;
  #contactAt: number;
  #clockDifference = 0;
  #behindUntil = -Infinity;

  /**
   * @param timeOfDay Unix milliseconds. Monotonic clocks don't count the time
   *   in which a machine is suspended.
   */
  constructor(timeOfDay: () => number, now: number) {
    this.#timeOfDay = timeOfDay;
    this.#contactAt = now;
  }

  /** Records that a control host is connected; to be called twice a second. */
  recordContact(now: number): void {
    this.#observe(now);
    this.#contactAt = now;
  }

  isUpToDate(now: number): boolean {
    this.#observe(now);
    return now >= this.#behindUntil &&
      now - this.#contactAt < MAX_CONTACT_AGE_MILLISECONDS;
  }

  #observe(now: number): void {
    if (now === this.#observedAt) return;
    const difference = this.#timeOfDay() - now;
    const pause = this.#observedAt === undefined
      ? 0
      : Math.max(now - this.#observedAt, difference - this.#clockDifference);
    if (pause > MAX_PAUSE_MILLISECONDS) {
      this.#behindUntil = now + CATCH_UP_MILLISECONDS;
    }
    this.#observedAt = now;
    this.#clockDifference = difference;
  }
}
