/** Longer than any pause between two observations of a process that runs. */
const MAX_OBSERVATION_GAP_MILLISECONDS = 500;

/**
 * Since when this process has read its connections without standing still. To a
 * process that goes on after a stall all backend servers look silent, which is
 * no evidence against any of them.
 */
export class ListeningTime {
  #since = -Infinity;
  #observedAt: number | undefined;

  /** Start of the time without a stall, monotonic milliseconds. */
  get since(): number {
    return this.#since;
  }

  /** Records that the process runs; to be called several times a second. */
  observe(now: number): void {
    const last = this.#observedAt ?? now;
    if (now - last > MAX_OBSERVATION_GAP_MILLISECONDS) this.#since = now;
    this.#observedAt = now;
  }

  /** Ends the observations: the time until the next one is no stall. */
  suspend(): void {
    this.#observedAt = undefined;
  }
}
