/**
 * Weight of the latest request in the moving average, which thus covers about
 * twenty requests: about one second of a host's requests.
 */
const LATEST_WEIGHT = 0.05;

/**
 * Moving average, from 0 to 1, of how often a request that is not a client's
 * retry finds no free slot at the engine chosen for it. If almost all find
 * none, no capacity is left for requests that are already late. If few find
 * none, as when a backlog is processed while new load is below capacity, slots
 * become free that timely requests do not need.
 */
export class SlotPressure {
  /**
   * Starts at 1 because a newly started host may face a backlog that it has not
   * seen yet: late requests that it queues would starve behind timely ones.
   */
  #share = 1;

  /**
   * Records one request.
   *
   * @param isFull whether the engine chosen for it had no free slot.
   */
  recordRequest(isFull: boolean): void {
    const latest = isFull ? 1 : 0;
    this.#share += LATEST_WEIGHT * (latest - this.#share);
  }

  get share(): number {
    return this.#share;
  }
}
