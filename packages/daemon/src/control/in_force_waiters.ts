type InForce = { inForce: boolean; hostsWithoutLease: string[] };

type InForceWaiter = { index: number; settle: (result: InForce) => void };

/**
 * Changes whose sender waits until every entry host with a lease has applied
 * them.
 */
export class InForceWaiters {
  #waiters = new Set<InForceWaiter>();

  /** Resolves with `inForce: false` after `milliseconds`. */
  wait(index: number, milliseconds: number): Promise<InForce> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#waiters.delete(waiter);
        resolve({ inForce: false, hostsWithoutLease: [] });
      }, milliseconds);
      const waiter: InForceWaiter = {
        index,
        settle: (result) => {
          clearTimeout(timer);
          this.#waiters.delete(waiter);
          resolve(result);
        },
      };
      this.#waiters.add(waiter);
    });
  }

  /**
   * Resolves the waiters whose index every entry host with a lease has
   * applied.
   *
   * @param appliedIndexes log index applied by each entry host with a lease
   * @param unleased entry hosts without a lease, which the result names
   */
  settleApplied(appliedIndexes: Map<string, number>, unleased: string[]): void {
    if (this.#waiters.size === 0) return;
    const lowestApplied = Math.min(...appliedIndexes.values());
    for (const waiter of [...this.#waiters]) {
      if (lowestApplied >= waiter.index) {
        waiter.settle({ inForce: true, hostsWithoutLease: unleased });
      }
    }
  }
}
