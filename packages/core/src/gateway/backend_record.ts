type Report = { running: number; waiting: number; slots: number };

/** Oldest that a report can be when it arrives. */
const UNSEEN_MILLISECONDS = 200;
/** Weight of the latest result in the share of failures. */
const FAILURE_WEIGHT = 0.25;
/** Failing more often than this, a backend server is left aside. */
const MOST_FAILURES = 0.4;
/** First time aside; doubles while it goes on failing. */
const ASIDE_MILLISECONDS = 500;
const LONGEST_ASIDE_MILLISECONDS = 8_000;
/** Until then a report is taken as it is, but for this host's own changes. */
const FRESH_MILLISECONDS = 300;
/** Says nothing of the present after so long: about the time of one answer. */
const REPORT_MILLISECONDS = 1_500;

/**
 * How long an answer holds a slot, until one was seen: 120 tokens, the mean
 * that services publish, at 7 to 8 ms each in a full batch.
 */
const USUAL_HOLD_MILLISECONDS = 1_000;
/** Weight of the latest answer in a mean: some ten answers, about a second. */
const HOLD_WEIGHT = 0.1;
/**
 * Nothing heard for so long from where something is under way: an engine
 * sends an event about every 50 ms, and a plain service of the sizes met
 * answers within 220 ms.
 */
const SILENT_MILLISECONDS = 700;
/** A service that takes longer to answer is given a multiple of its mean. */
const SILENT_HEADS = 4;

/**
 * What this host knows of one backend server: by its own requests there, and
 * by what the backend server and the agent beside it report.
 */
export class BackendRecord {
  /** Requests of this host that are under way there. */
  inFlight = 0;
  /** Prompt tokens of those that have not answered yet. */
  unreadTokens = 0;
  /** Requests without an answer yet that can be in time: they go first. */
  timelyUnread = 0;
  /**
   * Requests that backend servers of its service have on average, as far as
   * is known: what this one is taken to have while it has said nothing.
   */
  usualRequests = 0;
  /** Prompt tokens not read yet of a request under way, in its service's mean. */
  usualUnreadTokens = 0;
  /** Part of the requests under way that can be in time and wait for an answer. */
  usualTimelyUnread = 0;
  #holdMilliseconds = USUAL_HOLD_MILLISECONDS;
  #headMilliseconds = 0;
  #heardAt = -Infinity;
  /** Since when something has been under way there without a pause. */
  #busySince = -Infinity;
  #report: (Report & { at: number; ownThen: number }) | undefined;
  /** Sends of the last moments, which reports on their way don't count. */
  #sentAt: number[] = [];
  #failureShare = 0;
  #asideUntil = -Infinity;
  #asideMilliseconds = ASIDE_MILLISECONDS;
  /** It was left aside and has not answered well since. */
  #isOnTrial = false;

  /**
   * @param age how old the report is, milliseconds: what was sent since then
   * is not in it.
   */
  takeReport(report: Report, now: number, age = 0): void {
    const seenUntil = now - age;
    const unseen = this.#sentAt.filter((sentAt) => sentAt > seenUntil).length;
    this.#report = {
      ...report,
      at: seenUntil,
      ownThen: this.inFlight - unseen,
    };
  }

  /**
   * Requests there of all callers: what it last said, corrected by what this
   * host has sent and seen end since. The older that is, the more the usual
   * counts: one that was not heard for a second is not empty for that.
   */
  estimateRequests(now: number): number {
    const trust = this.reportTrust(now);
    const expected = trust * this.reportedRequests +
      (1 - trust) * this.usualRequests;
    return Math.max(expected, this.inFlight);
  }

  /** From 1 for a report of just now to 0 for one that says nothing any more. */
  reportTrust(now: number): number {
    if (this.#report === undefined) return 0;
    const age = now - this.#report.at - FRESH_MILLISECONDS;
    const span = REPORT_MILLISECONDS - FRESH_MILLISECONDS;
    return Math.min(1, Math.max(0, 1 - age / span));
  }

  /** What it last said, corrected by this host's own requests since. */
  get reportedRequests(): number {
    if (this.#report === undefined) return this.inFlight;
    const { running, waiting, ownThen } = this.#report;
    return Math.max(0, running + waiting + this.inFlight - ownThen);
  }

  /** A request is about to be sent there; call it ahead of counting it. */
  noteSend(now: number): void {
    if (this.inFlight === 0) this.#busySince = now;
    this.#sentAt = this.#sentAt.filter((sentAt) =>
      sentAt > now - UNSEEN_MILLISECONDS
    );
    this.#sentAt.push(now);
  }

  /** A part of some answer came from there. */
  noteHeard(now: number): void {
    this.#heardAt = now;
  }

  /** The head of an answer took so long from sending. */
  noteHead(milliseconds: number): void {
    this.#headMilliseconds += HOLD_WEIGHT *
      (milliseconds - this.#headMilliseconds);
  }

  /**
   * Whether nothing comes from there any more, though answers are due. A host
   * that froze or was cut off takes requests on kept connections and never
   * answers: no error tells, and each request sent there waits until its
   * client has left.
   */
  isSilent(now: number): boolean {
    if (this.inFlight === 0) return false;
    const limit = Math.max(
      SILENT_MILLISECONDS,
      SILENT_HEADS * this.#headMilliseconds,
    );
    return now - Math.max(this.#heardAt, this.#busySince) > limit;
  }

  /** An answer took so long from its head to its end. */
  noteHold(milliseconds: number): void {
    this.#holdMilliseconds += HOLD_WEIGHT *
      (milliseconds - this.#holdMilliseconds);
  }

  /** How long its answers take from head to end, milliseconds. */
  get holdMilliseconds(): number {
    return this.#holdMilliseconds;
  }

  /** Whether it failed so often lately that it is not to be used now. */
  isAside(now: number): boolean {
    return now < this.#asideUntil;
  }

  /**
   * Whether it can be expected to answer. Back from being left aside, one
   * request at a time tries it: where a data centre is cut off, each that is
   * sent there loses the time of a connection that does not come about.
   */
  isPromising(now: number): boolean {
    if (this.isAside(now) || this.isSilent(now)) return false;
    return !this.#isOnTrial || this.inFlight === 0;
  }

  /** A good answer has begun. */
  endTrial(): void {
    this.#isOnTrial = false;
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
    this.#isOnTrial = true;
    this.#asideMilliseconds = Math.min(
      LONGEST_ASIDE_MILLISECONDS,
      this.#asideMilliseconds * 2,
    );
    // Back from there, the first failures tell again.
    this.#failureShare = MOST_FAILURES / 2;
    return true;
  }
}
