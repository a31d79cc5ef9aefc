type InForce = { inForce: boolean; hostsWithoutLease: string[] };

type Waiting = { index: number; settle: (result: InForce) => void };

/** Operators' changes that wait until every live entry host applied them. */
export class InForceWaiters {
  #waiting = new Set<Waiting>();

  wait(index: number, milliseconds: number): Promise<InForce> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#waiting.delete(waiting);
        resolve({ inForce: false, hostsWithoutLease: [] });
      }, milliseconds);
      const waiting: Waiting = {
        index,
        settle: (result) => {
          clearTimeout(timer);
          this.#waiting.delete(waiting);
          resolve(result);
        },
      };
      this.#waiting.add(waiting);
    });
  }

  /** `live` maps each host with a live lease to the index it applied. */
  check(live: Map<string, number>, away: string[]): void {
    if (this.#waiting.size === 0) return;
    const slowest = Math.min(...live.values());
    for (const waiting of [...this.#waiting]) {
      if (slowest >= waiting.index) {
        waiting.settle({ inForce: true, hostsWithoutLease: away });
      }
    }
  }
}
