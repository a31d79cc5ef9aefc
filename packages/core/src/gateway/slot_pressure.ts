/** Weight of the latest request: some twenty, about a second of a host's. */
const LATEST_WEIGHT = 0.05;

/**
 * How often requests that can be in time find no free slot at the best backend
 * server of their service, from 0 to 1. Where almost all do, nothing is left
 * over for those that are late already; where few do, as when a backlog is
 * being worked off below capacity, slots get free that nobody else wants.
 */
export class SlotPressure {
  /**
   * A host that has just started may stand before a backlog that it has not
   * seen: late requests that it lets wait then starve behind those in time.
   */
  #share = 1;

  /** @param isFull whether the best backend server for it had no free slot. */
  note(isFull: boolean): void {
    const latest = isFull ? 1 : 0;
    this.#share += LATEST_WEIGHT * (latest - this.#share);
  }

  get share(): number {
    return this.#share;
  }
}
