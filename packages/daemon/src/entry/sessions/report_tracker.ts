const LEASE_MILLISECONDS = 1_500;
const MAX_TRACKED_REPORTS = 64;

/**
 * Tracks when each report to the leader was sent and until when this host
 * holds its lease. The lease is counted from the sending of the latest
 * confirmed report, so that the lease ends here before the leader considers
 * this host gone. All times are Unix milliseconds.
 */
export class ReportTracker {
  #sequence = 0;
  #sentAt = new Map<number, number>();
  #leaseUntil = 0;

  /** Records a report that is sent now; returns its sequence number. */
  recordSend(now: number): number {
    this.#sequence += 1;
    this.#sentAt.set(this.#sequence, now);
    this.#sentAt.delete(this.#sequence - MAX_TRACKED_REPORTS);
    return this.#sequence;
  }

  /** When the report was sent; undefined if it is not tracked any more. */
  sentAt(sequence: number): number | undefined {
    return this.#sentAt.get(sequence);
  }

  /** Extends the lease: the leader has answered this report. */
  confirm(sequence: number): void {
    const sentAt = this.#sentAt.get(sequence);
    if (sentAt === undefined) return;
    const until = sentAt + LEASE_MILLISECONDS;
    this.#leaseUntil = Math.max(this.#leaseUntil, until);
  }

  hasLease(now: number): boolean {
    return now < this.#leaseUntil;
  }

  /** Whether the lease is held, or ended less than one lease period ago. */
  hadLeaseRecently(now: number): boolean {
    return now - this.#leaseUntil < LEASE_MILLISECONDS;
  }
}
