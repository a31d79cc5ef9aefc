type Report = { running: number; waiting: number; slots: number };

/** Weight of the latest result in the share of failures. */
const FAILURE_WEIGHT = 0.25;
/** Failing more often than this, a backend server is left aside. */
const MOST_FAILURES = 0.4;
/** First time aside; doubles while it goes on failing. */
const ASIDE_MILLISECONDS = 500;
const LONGEST_ASIDE_MILLISECONDS = 8_000;
/** Says too little of the present after so long. */
const REPORT_MILLISECONDS = 1_500;

/** What this host knows of one backend server by its own requests. */
export class BackendRecord {
  /** Requests of this host that are under way there. */
  inFlight = 0;
  /** Prompt tokens of those that have not answered yet. */
  unreadTokens = 0;
  #report: (Report & { at: number; ownThen: number }) | undefined;
  #failureShare = 0;
  #asideUntil = -Infinity;
  #asideMilliseconds = ASIDE_MILLISECONDS;

  takeReport(report: Report, now: number): void {
    this.#report = { ...report, at: now, ownThen: this.inFlight };
  }

  /**
   * Requests there of all callers: what it last said, corrected by what this
   * host has sent and seen end since.
   */
  estimateRequests(now: number): number {
    const report = this.#report;
    if (report === undefined || now - report.at > REPORT_MILLISECONDS) {
      return this.inFlight;
    }
    const change = this.inFlight - report.ownThen;
    const total = report.running + report.waiting + change;
    return Math.max(total, this.inFlight);
  }

  /** Whether it failed so often lately that it is not to be used now. */
  isAside(now: number): boolean {
    return now < this.#asideUntil;
  }

  countSuccess(): void {
    this.#failureShare *= 1 - FAILURE_WEIGHT;
    if (this.#failureShare < MOST_FAILURES / 4) {
      this.#asideMilliseconds = ASIDE_MILLISECONDS;
    }
  }

  /** Gives back whether it is left aside from now on. */
  countFailure(now: number): boolean {
    this.#failureShare += FAILURE_WEIGHT * (1 - this.#failureShare);
    if (this.#failureShare < MOST_FAILURES) return false;
    return this.leaveAside(now);
  }

  /** Refused or unreachable: no share of failures is needed to tell. */
  leaveAside(now: number): boolean {
    if (this.isAside(now)) return false;
    this.#asideUntil = now + this.#asideMilliseconds;
    this.#asideMilliseconds = Math.min(
      LONGEST_ASIDE_MILLISECONDS,
      this.#asideMilliseconds * 2,
    );
    // Back from there, the first failures tell again.
    this.#failureShare = MOST_FAILURES / 2;
    return true;
  }
}
