import type { CrashReport } from "./crash_report.ts";

const RETENTION_MILLISECONDS = 60_000;
/** Amounts to some 6 KB for a control host that is followed anew. */
const MAX_REPORTS = 64;

/**
 * The latest reports of this host, for a control host that it begins to follow:
 * one that was away, or lost power, has not heard of them. Of many, those of
 * requests that had been sent last are kept.
 */
export class RecentReports {
  #reports: { report: CrashReport; at: number }[] = [];

  add(report: CrashReport, now: number): void {
    this.#reports = this.#reports
      .filter(({ at }) => now - at <= RETENTION_MILLISECONDS);
    this.#reports.push({ report, at: now });
    if (this.#reports.length > MAX_REPORTS) this.#dropOldestSent();
  }

  /** A request has come to a good end: it didn't cause these crashes. */
  forget(fingerprint: string): void {
    this.#reports = this.#reports
      .filter(({ report }) => report.fingerprint !== fingerprint);
  }

  list(now: number): CrashReport[] {
    return this.#reports
      .filter(({ at }) => now - at <= RETENTION_MILLISECONDS)
      .map(({ report }) => report);
  }

  #dropOldestSent(): void {
    const times = this.#reports
      .map(({ report: { sentMilliseconds, begunMilliseconds } }) =>
        sentMilliseconds ?? begunMilliseconds ?? Infinity
      );
    this.#reports.splice(times.indexOf(Math.max(...times)), 1);
  }
}
