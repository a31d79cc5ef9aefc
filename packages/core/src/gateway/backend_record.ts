import type { EngineDefinition } from "./engine_definition.ts";
import type { ReportedLoad } from "./reported_load.ts";
import { ServerPace } from "./server_pace.ts";

/**
 * How long send times are kept: longer than the age of any load report on
 * arrival, which is at most 100 ms.
 */
const SEND_TIME_RETENTION_MILLISECONDS = 200;
/** Weight of the latest result in the moving average of failures. */
const LATEST_RESULT_WEIGHT = 0.25;
/** A backend server whose failure rate reaches this value is ejected. */
const MAX_FAILURE_RATE = 0.4;
/**
 * Length of the first ejection. It doubles with each further ejection until the
 * failure rate has become low.
 */
const INITIAL_EJECTION_MILLISECONDS = 500;
const MAX_EJECTION_MILLISECONDS = 8_000;
/**
 * Up to this age a load report counts in full, adjusted only for requests that
 * this host has sent or seen end since.
 */
const REPORT_FRESH_MILLISECONDS = 300;
/**
 * From this age on a load report says nothing about the current load and is
 * ignored. The value is about the duration of one response.
 */
const REPORT_EXPIRY_MILLISECONDS = 1_500;
/**
 * A deviation from the mean load is mostly gone after this time: requests end,
 * and all hosts have seen it and sent elsewhere, or there.
 */
const REVERSION_MILLISECONDS = 150;
/**
 * Bursts last a few seconds; averaged over less, the mean would follow the
 * deviations.
 */
const MEAN_LOAD_WINDOW_MILLISECONDS = 4_000;

/**
 * Assumed time that a response occupies a slot until one has been measured:
 * 120 tokens, the mean that services publish, at 7 to 8 ms each in a full
 * batch.
 */
const INITIAL_SLOT_HOLD_MILLISECONDS = 1_000;
/**
 * Weight of the latest response in the moving averages of durations: they
 * cover about ten responses, which arrive within about a second.
 */
const LATEST_DURATION_WEIGHT = 0.1;
/**
 * Minimum time without data, while requests are in flight, after which a
 * backend server counts as silent. An engine sends an event about every 50 ms,
 * and services without an engine, of the sizes seen, respond within 220 ms.
 */
const MIN_SILENCE_MILLISECONDS = 700;
/**
 * For services that respond more slowly, the silence limit is this multiple of
 * their mean response time.
 */
const SILENCE_RESPONSE_TIME_FACTOR = 4;

/**
 * Events that arrive closer to each other are of one pass: an engine sends those
 * of all its streams at the end of it.
 */
const MIN_PASS_MILLISECONDS = 10;

/** For a process of which no stall is known. */
const ALWAYS_LISTENING = { since: -Infinity };

/**
 * Load, health and timing of one backend server as seen by this host: from its
 * own requests to the backend server, and from the load reports in its
 * responses and those of its stager.
 */
export class BackendRecord {
  /** Requests from this host in flight to the backend server. */
  inFlight = 0;
  /** Prompt tokens of this host's in-flight requests without a response yet. */
  pendingPromptTokens = 0;
  /**
   * In-flight requests without a response yet that were expected to meet their
   * target time. The backend server's queue serves them before late ones.
   */
  timelyUnanswered = 0;
  /**
   * Requests that the backend server is assumed to have while it has no recent
   * load report, derived from the mean load of its service's backend servers.
   */
  assumedRequests = 0;
  /**
   * Mean number of prompt tokens without a response yet per in-flight request
   * of this host, over all backend servers of the service.
   */
  meanPendingPromptTokens = 0;
  /**
   * Share of this host's in-flight requests to the service, 0 to 1, that were
   * expected to meet their target time and have no response yet.
   */
  timelyUnansweredShare = 0;
  readonly pace = new ServerPace();
  #slotHoldMilliseconds = INITIAL_SLOT_HOLD_MILLISECONDS;
  #measuredHoldMilliseconds: number | undefined;
  #meanResponseTimeMilliseconds = 0;
  #lastReceivedAt = -Infinity;
  /** Answers of which events arrive. */
  #streams = 0;
  /** Since when there has been such an answer at any time. */
  #streamingSince = -Infinity;
  /** Since when some data has been awaited without a pause. */
  #busySince = -Infinity;
  /** In-flight requests whose answers this host doesn't read now. */
  #unread = 0;
  #report:
    | (
      & Pick<ReportedLoad, "running" | "waiting">
      & { reportedAt: number; ownRequests: number }
    )
    | undefined;
  /** Mean number of other hosts' requests in load reports. */
  #meanOtherRequests = 0;
  /**
   * Send times of the latest requests, which a load report still in transit
   * does not include.
   */
  #recentSendTimes: number[] = [];
  #failureRate = 0;
  #ejectedUntil = -Infinity;
  #nextEjectionMilliseconds = INITIAL_EJECTION_MILLISECONDS;
  /** Ejected, and without a successful response since. */
  #isHalfOpen = false;
  /** Ejected for its silence alone. */
  #isEjectedForSilence = false;
  #listening: { readonly since: number };

  /** @param listening since when this process reads without a stall. */
  constructor(listening: { readonly since: number } = ALWAYS_LISTENING) {
    this.#listening = listening;
  }

  /**
   * Stores a load report.
   *
   * @param age milliseconds since the report's data was measured. Requests sent
   * since then are not in the report and are added.
   */
  recordReport(report: ReportedLoad, now: number, age = 0): void {
    const reportedAt = now - age;
    if (report.slowdown !== undefined) {
      this.pace.record(report.slowdown, reportedAt);
    }
    const { running, waiting } = report;
    let ownRequests = this.inFlight;
    for (const sentAt of this.#recentSendTimes) {
      if (sentAt > reportedAt) ownRequests -= 1;
    }
    const others = Math.max(0, running + waiting - ownRequests);
    const sinceLast = reportedAt - (this.#report?.reportedAt ?? -Infinity);
    const weight = 1 -
      Math.exp(-Math.max(0, sinceLast) / MEAN_LOAD_WINDOW_MILLISECONDS);
    this.#meanOtherRequests += weight * (others - this.#meanOtherRequests);
    this.#report = { running, waiting, reportedAt, ownRequests };
  }

  /**
   * Estimates the requests of all callers at the backend server: the last load
   * report, adjusted for this host's requests since. The older the report, the
   * more `assumedRequests` counts instead, because a backend server that has
   * not reported for a second is not necessarily idle.
   */
  estimateRequests(now: number): number {
    return this.#weighByFreshness(this.reportedRequests, now);
  }

  /**
   * The same, with the number of other hosts' requests expected to go back to
   * its mean as the report ages.
   */
  estimateRevertedRequests(now: number): number {
    if (this.#report === undefined) return this.estimateRequests(now);
    const age = now - this.#report.reportedAt;
    const weight = Math.exp(-age / REVERSION_MILLISECONDS);
    const others = Math.max(0, this.reportedRequests - this.inFlight);
    const expected = this.inFlight + weight * others +
      (1 - weight) * this.#meanOtherRequests;
    return this.#weighByFreshness(expected, now);
  }

  #weighByFreshness(requests: number, now: number): number {
    const freshness = this.reportFreshness(now);
    const expected = freshness * requests +
      (1 - freshness) * this.assumedRequests;
    return Math.max(expected, this.inFlight);
  }

  /**
   * Weight of the last load report, falling with its age: 1 while it is fresh,
   * 0 once it has expired or if there is none.
   */
  reportFreshness(now: number): number {
    if (this.#report === undefined) return 0;
    const age = now - this.#report.reportedAt - REPORT_FRESH_MILLISECONDS;
    const span = REPORT_EXPIRY_MILLISECONDS - REPORT_FRESH_MILLISECONDS;
    return Math.min(1, Math.max(0, 1 - age / span));
  }

  /**
   * Requests in the last load report, adjusted for those that this host has
   * sent or seen end since; this host's own requests if there is no report.
   */
  get reportedRequests(): number {
    if (this.#report === undefined) return this.inFlight;
    const { running, waiting, ownRequests } = this.#report;
    return Math.max(0, running + waiting + this.inFlight - ownRequests);
  }

  /** Counts a request that is sent now. */
  beginRequest(now: number): void {
    this.recordSend(now);
    this.inFlight += 1;
  }

  /** Records a send. Must be called before `inFlight` is incremented. */
  recordSend(now: number): void {
    if (this.inFlight === this.#unread) this.#busySince = now;
    this.#recentSendTimes = this.#recentSendTimes.filter((sentAt) =>
      sentAt > now - SEND_TIME_RETENTION_MILLISECONDS
    );
    this.#recentSendTimes.push(now);
  }

  /**
   * Stops reading an in-flight request's answer, as its client reads more
   * slowly: no data from it is due until `resumeReading`.
   */
  pauseReading(): void {
    this.#unread += 1;
  }

  resumeReading(now: number): void {
    if (this.inFlight === this.#unread) this.#busySince = now;
    this.#unread -= 1;
  }

  /**
   * When part of any response last arrived from the backend server, monotonic
   * milliseconds.
   */
  get lastReceivedAt(): number {
    return this.#lastReceivedAt;
  }

  /** Records that part of any response arrived from the backend server. */
  recordDataReceived(now: number): void {
    const gap = now - this.#lastReceivedAt;
    if (gap > 0) this.#recordGap(gap, now);
    this.#lastReceivedAt = now;
    if (!this.#isEjectedForSilence) return;
    this.#isEjectedForSilence = false;
    this.#isHalfOpen = false;
    this.#ejectedUntil = -Infinity;
    this.#nextEjectionMilliseconds = INITIAL_EJECTION_MILLISECONDS;
  }

  /** Counts an answer whose events arrive from now on. */
  beginEvents(now: number): void {
    if (this.#streams === 0) this.#streamingSince = now;
    this.#streams += 1;
  }

  endEvents(): void {
    this.#streams -= 1;
  }

  /**
   * Time since the latest event of a stream that is under way, milliseconds; 0
   * if there is none.
   */
  #silentInStream(now: number): number {
    return this.#streams > this.#unread ? now - this.#streamSilentSince : 0;
  }

  get #streamSilentSince(): number {
    return Math.max(
      this.#lastReceivedAt,
      this.#streamingSince,
      this.#busySince,
      this.#listening.since,
    );
  }

  /** Takes the time between two events of streams for that of one pass. */
  #recordGap(milliseconds: number, now: number): void {
    const isOfStream = this.#streams > 0 &&
      this.#streamSilentSince === this.#lastReceivedAt;
    if (isOfStream && milliseconds >= MIN_PASS_MILLISECONDS) {
      this.pace.recordPass(milliseconds, now);
    }
  }

  /**
   * How much longer than usual work takes there now: 1 as usual, and where none
   * of the service's backend servers reports it.
   */
  estimateSlowdown(engine: EngineDefinition | undefined, now: number): number {
    if (this.pace.serviceMean === undefined) return 1;
    return this.pace.estimate(now, {
      passMilliseconds: engine === undefined
        ? 0
        : engine.stepMilliseconds * engine.stepsPerPass,
      silentMilliseconds: this.#silentInStream(now),
    });
  }

  /** Records the time from sending a request to its response headers. */
  recordResponseTime(milliseconds: number): void {
    this.#meanResponseTimeMilliseconds += LATEST_DURATION_WEIGHT *
      (milliseconds - this.#meanResponseTimeMilliseconds);
  }

  /**
   * Whether no data arrives any more although responses are due. A host that
   * froze or was disconnected accepts requests on keep-alive connections and
   * never responds. No error is raised, and each request sent there would wait
   * until its client gives up.
   */
  isSilent(now: number): boolean {
    const limit = Math.max(
      MIN_SILENCE_MILLISECONDS,
      SILENCE_RESPONSE_TIME_FACTOR * this.#meanResponseTimeMilliseconds,
    );
    return this.silentMilliseconds(now) > limit;
  }

  /** Time without data while responses were due, milliseconds; 0 if none is. */
  silentMilliseconds(now: number): number {
    if (this.inFlight === this.#unread) return 0;
    const since = Math.max(
      this.#lastReceivedAt,
      this.#busySince,
      this.#listening.since,
    );
    return Math.max(0, now - since);
  }

  /**
   * Ejects the backend server after another one has taken over a request. Its
   * silence shows only while requests are in flight there; the ejection lasts
   * beyond them, until data arrives again or the usual time is over.
   */
  ejectForSilence(now: number): void {
    if (this.eject(now)) this.#isEjectedForSilence = true;
  }

  /** Records the time from a response's headers to its end. */
  recordSlotHoldTime(milliseconds: number): void {
    const measured = this.#measuredHoldMilliseconds ?? milliseconds;
    this.#measuredHoldMilliseconds = measured +
      LATEST_DURATION_WEIGHT * (milliseconds - measured);
    this.#slotHoldMilliseconds += LATEST_DURATION_WEIGHT *
      (milliseconds - this.#slotHoldMilliseconds);
  }

  /** Mean time from a response's headers to its end, milliseconds. */
  get slotHoldMilliseconds(): number {
    return this.#slotHoldMilliseconds;
  }

  /** The same without an assumption before the first; undefined until then. */
  get measuredHoldMilliseconds(): number | undefined {
    return this.#measuredHoldMilliseconds;
  }

  /** Whether the backend server is ejected because of recent failures. */
  isEjected(now: number): boolean {
    return now < this.#ejectedUntil;
  }

  /**
   * Whether the backend server can be expected to respond. After an ejection
   * it is half-open: it gets one request at a time until one succeeds. While a
   * data centre is disconnected, each request sent to it loses the time of a
   * failing connection attempt.
   */
  isAvailable(now: number): boolean {
    if (this.isEjected(now) || this.isSilent(now)) return false;
    return !this.#isHalfOpen || this.inFlight === 0;
  }

  /** Ends the half-open state because a successful response has begun. */
  endHalfOpen(): void {
    this.#isHalfOpen = false;
  }

  /**
   * Records a success. A low failure rate resets the length of the next
   * ejection to that of the first.
   */
  recordSuccess(): void {
    this.#failureRate *= 1 - LATEST_RESULT_WEIGHT;
    if (this.#failureRate < MAX_FAILURE_RATE / 4) {
      this.#nextEjectionMilliseconds = INITIAL_EJECTION_MILLISECONDS;
    }
  }

  /**
   * Records a failure, and ejects the backend server if its failure rate has
   * become too high. Returns whether this call ejected it.
   */
  recordFailure(now: number): boolean {
    this.#failureRate += LATEST_RESULT_WEIGHT * (1 - this.#failureRate);
    if (this.#failureRate < MAX_FAILURE_RATE) return false;
    return this.eject(now);
  }

  /**
   * Ejects the backend server regardless of its failure rate, for example when
   * it refuses connections or is unreachable. Returns false if it was ejected
   * already.
   */
  eject(now: number): boolean {
    if (this.isEjected(now)) return false;
    this.#isEjectedForSilence = false;
    this.#ejectedUntil = now + this.#nextEjectionMilliseconds;
    this.#isHalfOpen = true;
    this.#nextEjectionMilliseconds = Math.min(
      MAX_EJECTION_MILLISECONDS,
      this.#nextEjectionMilliseconds * 2,
    );
    // One failure right after the ejection is enough to eject it again.
    this.#failureRate = MAX_FAILURE_RATE / 2;
    return true;
  }
}
