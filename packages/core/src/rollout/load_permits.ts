type Options = {
  /** Part of the hosts that may be out for loading at once. */
  outShare: number;
  /** A turn that nobody ended is over after so long. */
  turnMilliseconds: number;
};

type Turn = { since: number; counts: boolean };

/**
 * Who may stop serving to load a new version: most of a data centre's
 * engines serve at every moment, and an engine that serves nothing waits for
 * nobody. Soft state: a new keeper starts empty and at worst lets some more
 * load at once.
 */
export class LoadTurns {
  #options: Options;
  #turns = new Map<string, Turn>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** Whether `host` has a turn now, out of `hosts` in its data centre. */
  take(
    host: string,
    view: { hosts: number; wasServing: boolean; now: number },
  ): boolean {
    const { hosts, wasServing, now } = view;
    this.#expire(now);
    if (this.#turns.has(host)) return true;
    const out = [...this.#turns.values()].filter(({ counts }) => counts).length;
    const most = Math.max(1, Math.floor(hosts * this.#options.outShare));
    if (wasServing && out >= most) return false;
    this.#turns.set(host, { since: now, counts: wasServing });
    return true;
  }

  end(host: string): void {
    this.#turns.delete(host);
  }

  #expire(now: number): void {
    for (const [host, { since }] of [...this.#turns]) {
      if (now - since > this.#options.turnMilliseconds) this.end(host);
    }
  }
}
