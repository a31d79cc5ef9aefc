const LEASE_MILLISECONDS = 1_500;
const REMEMBERED = 64;

/**
 * When each report to the leader was sent, and until when a confirmed one
 * makes this host count as connected. Counted from the sending, the lease
 * ends here before the leader takes this host for gone.
 */
export class ReportLedger {
  #sequence = 0;
  #sentAt = new Map<number, number>();
  #leaseUntil = 0;

  /** Numbers the report that is sent now. */
  send(now: number): number {
    this.#sequence += 1;
    this.#sentAt.set(this.#sequence, now);
    this.#sentAt.delete(this.#sequence - REMEMBERED);
    return this.#sequence;
  }

  sentAt(sequence: number): number | undefined {
    return this.#sentAt.get(sequence);
  }

  /** The leader answered a report. */
  confirm(sequence: number): void {
    const sentAt = this.#sentAt.get(sequence);
    if (sentAt === undefined) return;
    const until = sentAt + LEASE_MILLISECONDS;
    this.#leaseUntil = Math.max(this.#leaseUntil, until);
  }

  hasLease(now: number): boolean {
    return now < this.#leaseUntil;
  }

  /** Whether the lease, if gone, went only a moment ago. */
  hadLeaseLately(now: number): boolean {
    return now - this.#leaseUntil < LEASE_MILLISECONDS;
  }
}
