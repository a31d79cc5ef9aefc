type Options = {
  /** Share of the hosts that may stop serving to load at once, 0 to 1. */
  maxLoadingShare: number;
  /** Time after which a permit that was not released expires. */
  permitTimeoutMilliseconds: number;
};

type Permit = { since: number; countsAgainstLimit: boolean };

/**
 * Decides which hosts of a data centre may stop serving to load a new version,
 * so that most of its engines serve at all times. An engine that serves nothing
 * gets a permit at once. The permits are soft state: a control host that takes
 * over starts without them and at worst lets some more engines load at once.
 */
export class LoadPermits {
  #options: Options;
  #permits = new Map<string, Permit>();

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Gives `host` a permit if the limit allows one, and returns whether it has
   * one now. `hosts` is the number of hosts in its data centre.
   */
  tryAcquire(
    host: string,
    view: { hosts: number; wasServing: boolean; now: number },
  ): boolean {
    const { hosts, wasServing, now } = view;
    this.#expire(now);
    if (this.#permits.has(host)) return true;
    const unavailable =
      [...this.#permits.values()].filter(({ countsAgainstLimit }) =>
        countsAgainstLimit
      ).length;
    const limit = Math.max(
      1,
      Math.floor(hosts * this.#options.maxLoadingShare),
    );
    if (wasServing && unavailable >= limit) return false;
    this.#permits.set(host, { since: now, countsAgainstLimit: wasServing });
    return true;
  }

  release(host: string): void {
    this.#permits.delete(host);
  }

  #expire(now: number): void {
    for (const [host, { since }] of [...this.#permits]) {
      if (now - since > this.#options.permitTimeoutMilliseconds) {
        this.release(host);
      }
    }
  }
}
