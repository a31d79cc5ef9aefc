import { create } from "@bufbuild/protobuf";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import type { PartWatch } from "@teaselrouter/core/crashes/part_watch.ts";
import { RecentReports } from "@teaselrouter/core/crashes/recent_reports.ts";
import type { GoodEndNews } from "@teaselrouter/core/crashes/good_end_news.ts";
import { parsePartNames } from "@teaselrouter/core/crashes/parse_part_names.ts";
import { NewsRateLimiter } from "@teaselrouter/core/news/news_rate_limiter.ts";
import { incarnationOf } from "@teaselrouter/core/membership/incarnation_of.ts";
import {
  type CrashNews,
  CrashNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import { randomUUID } from "node:crypto";
import type { Observable } from "rxjs";
import { toBlameFields } from "../log/to_blame_fields.ts";
import type { EventLog } from "../log/event_log.ts";
import { decodeBlame } from "../transport/decode_blame.ts";
import { decodeCrashReport } from "../transport/decode_crash_report.ts";
import { encodeBlame } from "../transport/encode_blame.ts";
import { decodePartWatch } from "../transport/decode_part_watch.ts";
import { decodePartGoodEnds } from "../transport/decode_part_good_ends.ts";
import { encodeCrashReport } from "../transport/encode_crash_report.ts";
import { encodeGoodEnds } from "../transport/encode_good_ends.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerProgress } from "./answer_progress.ts";
import type { EndedRuns } from "./ended_runs.ts";
import { fingerprintCall } from "./fingerprint_call.ts";
import { GoodEndWatch } from "./good_end_watch.ts";
import type { InFlightCall } from "./in_flight_call.ts";
import { isBlamedBy } from "./is_blamed_by.ts";

/**
 * How long this gateway waits after a crash before it blames a request itself.
 * Control hosts get the reports of all gateways, decide better, and send their
 * blame within this time (they wait 120 ms); the gateway's own decision matters
 * when it is cut off from them.
 */
const DECISION_DELAY_MILLISECONDS = 500;
/** The delay counts from the first look at which there is enough evidence. */
const DECISION_INTERVAL_MILLISECONDS = 100;
const REPORT_BATCH_MILLISECONDS = 50;
/** Amounts to 3 KB a second for each control host that is followed. */
const MAX_REPORTS_PER_SECOND = 48;
/** A newly followed control host gets the latest blames, up to this number. */
const MAX_INITIAL_BLAMES = 64;
/** A report with more prompt parts counts as several. */
const PARTS_PER_REPORT = 8;

/** Few, as each message of good ends has them. */
const RUN_CHARACTERS = 8;
/** Control hosts are asked for trial runs at most this often. */
const TRIAL_REQUEST_INTERVAL_MILLISECONDS = 1_000;
/** Of those that this host suspects itself; control hosts tell of others. */
const MAX_OWN_WATCHES = 128;
/** How long an answer has to be written to count as running well. */
const RUNNING_WELL_MILLISECONDS = 200;

type Options = {
  /** Name of this gateway. */
  host: string;
  /** Whether a control host can be reached. */
  isConnected: () => boolean;
  ended$: Observable<EndedRuns>;
  updates$: Observable<CrashNews>;
  publish: (news: CrashNews) => void;
  log: EventLog;
};

/**
 * Gateway side of finding requests that crash the backend servers that run
 * them: reports crashes, and keeps off the requests blamed for them.
 */
export class CrashReporter {
  #options: Options;
  #ledger: CrashLedger;
  #callsInFlight = new Set<InFlightCall>();
  #reports: CrashReport[] = [];
  #recentReports = new RecentReports();
  #rateLimiter = new NewsRateLimiter(MAX_REPORTS_PER_SECOND);
  #goodEnds = new GoodEndWatch({ report: (news) => this.#tellGoodEnds(news) });
  #running = new GoodEndWatch({
    report: (news) => this.#tellRunning(news),
    observe: () => this.#noteRunning(),
  });
  /** Answers that were noted as running well. */
  #noted = new WeakSet<AnswerProgress>();
  /** Names this run of the process. */
  #source: string;
  #trialsAskedAt = -Infinity;
  #reportTimer: NodeJS.Timeout | undefined;
  #decideTimer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#source = `${options.host}@${randomUUID().slice(0, RUN_CHARACTERS)}`;
    this.#ledger = new CrashLedger({
      decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
      waitsForPermits: true,
      // Control hosts hear of the answers at all gateways.
      mayBlameParts: () => !options.isConnected(),
    });
    options.ended$.subscribe((ended) => this.#recordEnd(ended));
    options.updates$.subscribe((update) => this.#applyUpdate(update));
  }

  stop(): void {
    clearTimeout(this.#reportTimer);
    clearTimeout(this.#decideTimer);
    this.#goodEnds.stop();
    this.#running.stop();
  }

  /**
   * Returns the blame for which a request must not be sent now, undefined if it
   * may be. Once the blame's term has ended, a control host is asked for a trial:
   * with its permit, one call returns undefined.
   */
  checkBlame(call: AdmittedCall): Blame | undefined {
    if (!this.#ledger.hasBlamed) return undefined;
    const now = monotonicMilliseconds();
    const { sharedParts } = call.metadata;
    const fingerprint = fingerprintCall(call);
    const blame = this.#ledger.checkBlame(fingerprint, now, sharedParts);
    if (
      blame !== undefined && this.#ledger.isDueForTrial(blame.fingerprint, now)
    ) {
      this.#askForTrial(blame.fingerprint, now);
    }
    return blame;
  }

  #askForTrial(fingerprint: string, now: number): void {
    const sinceLast = now - this.#trialsAskedAt;
    if (sinceLast < TRIAL_REQUEST_INTERVAL_MILLISECONDS) return;
    this.#trialsAskedAt = now;
    const { host, publish } = this.#options;
    const trialsWanted = [{ fingerprint, host }];
    publish(create(CrashNewsSchema, { trialsWanted }));
  }

  /** Whether this host may retry the request on its own. */
  mayRetry(call: AdmittedCall): boolean {
    if (this.#ledger.suspectCount === 0 && !this.#ledger.hasBlamed) return true;
    const fingerprint = fingerprintCall(call);
    const now = monotonicMilliseconds();
    return this.#ledger.mayRetry(fingerprint) &&
      !this.#ledger.isRefused(fingerprint, now, call.metadata.sharedParts);
  }

  /** @returns a function that ends the watch. */
  watch(inFlightCall: InFlightCall): () => void {
    this.#callsInFlight.add(inFlightCall);
    return () => void this.#callsInFlight.delete(inFlightCall);
  }

  /**
   * Records a good answer that has come to its end, whole. `sentAt` is when its
   * request was sent to the backend server, monotonic milliseconds.
   */
  recordSuccess(
    call: AdmittedCall,
    { sentAt, isStream }: { sentAt: number; isStream: boolean },
  ): void {
    const hasParts = call.metadata.sharedParts.length > 0;
    if (isStream || hasParts) this.#goodEnds.recordEnd(call, sentAt);
    if (this.#ledger.suspectCount === 0 && !this.#ledger.hasBlamed) return;
    const fingerprint = fingerprintCall(call);
    this.#recentReports.forget(fingerprint);
    if (!this.#ledger.clear(fingerprint)) return;
    this.#options.publish(create(CrashNewsSchema, { cleared: [fingerprint] }));
  }

  /**
   * Latest blames and reports, for a control host that this gateway begins to
   * follow and that may know nothing; undefined for none. Good ends are told
   * soon, to all.
   */
  currentNews(): CrashNews | undefined {
    this.#goodEnds.tellAnew();
    this.#running.tellAnew();
    const now = monotonicMilliseconds();
    const blames = this.#ledger.listBlames().slice(-MAX_INITIAL_BLAMES);
    const reports = this.#recentReports.list(now);
    if (blames.length + reports.length === 0) return undefined;
    return create(CrashNewsSchema, {
      blamed: blames.map((blame) => encodeBlame(blame, now)),
      reports: reports.map((report) => encodeCrashReport(report, now)),
    });
  }

  expire(): void {
    this.#ledger.expire(monotonicMilliseconds());
  }

  #recordEnd(
    { announcement, interrupted, at, areGivenUp = false }: EndedRuns,
  ): void {
    const now = monotonicMilliseconds();
    // One start of one backend server.
    const incarnation = incarnationOf(announcement);
    for (const each of interrupted) {
      const { call, fingerprint, begunMilliseconds, sentMilliseconds } = each;
      const report = {
        fingerprint,
        incarnation,
        begunMilliseconds,
        sentMilliseconds,
        parts: call.metadata.sharedParts,
        crashedAt: at,
        isGivenUp: areGivenUp,
      };
      if (!this.#ledger.recordReport(report, now)) continue;
      this.#reports.push(report);
      this.#recentReports.add(report, now);
    }
    // The latest are the last to be forgotten.
    const watches = this.#ledger.listPartWatches({ minCrashes: 1 })
      .slice(0, MAX_OWN_WATCHES).reverse();
    this.#ledger.noteWatches(watches, now);
    this.#watchParts(watches);
    this.#scheduleDecision();
    this.#reportTimer ??= setTimeout(
      () => this.#publishReports(),
      REPORT_BATCH_MILLISECONDS,
    );
  }

  /**
   * Publishes the gathered reports. If there are too many, those of requests
   * at the most crashes go first, of these the ones that were sent last.
   */
  #publishReports(): void {
    this.#reportTimer = undefined;
    const now = monotonicMilliseconds();
    const published = this.#reports
      .sort((left, right) =>
        this.#reportPriority(right) - this.#reportPriority(left)
      )
      .filter(({ parts = [] }) => {
        const cost = 1 + Math.floor(parts.length / PARTS_PER_REPORT);
        return this.#rateLimiter.take(cost, now) === cost;
      });
    const droppedCount = this.#reports.length - published.length;
    this.#reports = [];
    if (droppedCount > 0) {
      this.#options.log.warn("crash-reports-left-out", { count: droppedCount });
    }
    if (published.length === 0) return;
    const reports = published.map((report) => encodeCrashReport(report, now));
    this.#options.publish(create(CrashNewsSchema, { reports }));
  }

  #reportPriority(
    { fingerprint, sentMilliseconds, begunMilliseconds }: CrashReport,
  ): number {
    const age = sentMilliseconds ?? begunMilliseconds ?? Infinity;
    const { length } = this.#ledger.incarnationsOf(fingerprint);
    return length + 1 / (1 + age);
  }

  #scheduleIfPending(now: number): void {
    if (this.#decideTimer !== undefined) return;
    if (this.#ledger.hasPendingSuspects(now)) this.#scheduleDecision();
  }

  #scheduleDecision(): void {
    this.#decideTimer ??= setTimeout(() => {
      this.#decideTimer = undefined;
      const now = monotonicMilliseconds();
      const blames = this.#ledger.blameSuspects(now);
      if (blames.length > 0) {
        this.#applyBlames(blames, "decided");
        this.#options.publish(this.#encodeBlames(blames));
      }
      if (this.#ledger.hasPendingSuspects(now)) this.#scheduleDecision();
    }, DECISION_INTERVAL_MILLISECONDS);
  }

  #watchParts(watches: readonly PartWatch[]): void {
    this.#goodEnds.watch(watches);
    this.#running.watch(watches);
  }

  #noteRunning(): void {
    for (const { call, progress } of this.#callsInFlight) {
      const running = progress();
      if (running === undefined || this.#noted.has(running)) continue;
      const { sentAt, begunAt, lastReceivedAt } = running;
      if (lastReceivedAt() - begunAt < RUNNING_WELL_MILLISECONDS) continue;
      this.#noted.add(running);
      this.#running.recordEnd(call, sentAt);
    }
  }

  #tellRunning(news: GoodEndNews): void {
    this.#ledger.addRunningAnswers(this.#source, news);
    const now = monotonicMilliseconds();
    this.#scheduleIfPending(now);
    const running = encodeGoodEnds(this.#source, news, now);
    this.#options.publish(create(CrashNewsSchema, { running }));
  }

  #tellGoodEnds(news: GoodEndNews): void {
    this.#ledger.addGoodEnds(this.#source, news);
    const now = monotonicMilliseconds();
    this.#scheduleIfPending(now);
    const goodEnds = encodeGoodEnds(this.#source, news, now);
    this.#options.publish(create(CrashNewsSchema, { goodEnds }));
  }

  #applyUpdate(news: CrashNews): void {
    const { reports, blamed, cleared, watches, partGoodEnds } = news;
    const now = monotonicMilliseconds();
    this.#applyTrials(news, now);
    this.#watchParts(watches.map((watch) => decodePartWatch(watch, now)));
    for (const end of decodePartGoodEnds(partGoodEnds, now)) {
      this.#ledger.recordGoodEnd(end);
    }
    for (const fingerprint of cleared) {
      this.#recentReports.forget(fingerprint);
      this.#ledger.clear(fingerprint);
    }
    for (const report of reports) {
      this.#ledger.recordReport(decodeCrashReport(report, now), now);
    }
    if (reports.length > 0) this.#scheduleDecision();
    const learnt = blamed
      .map((request) => decodeBlame(request, now))
      .filter((blame) => this.#ledger.mergeBlame(blame));
    if (learnt.length > 0) this.#applyBlames(learnt, "told");
  }

  #applyTrials({ trialsPermitted }: CrashNews, now: number): void {
    for (const { fingerprint, host } of trialsPermitted) {
      this.#ledger.beginTrial(fingerprint, now);
      if (host !== this.#options.host) continue;
      this.#ledger.permitTrial(fingerprint, now);
      const parts = parsePartNames(fingerprint) ?? [];
      this.#watchParts(parts.map((part) => ({ part, since: now })));
    }
  }

  #applyBlames(blames: Blame[], how: "decided" | "told"): void {
    const now = monotonicMilliseconds();
    for (const blame of blames) {
      const fields = { ...toBlameFields(blame, now), how };
      this.#options.log.warn("request-blamed", fields);
      this.#abortInFlight(blame);
    }
  }

  #abortInFlight(blame: Blame): void {
    for (const { call, abort } of [...this.#callsInFlight]) {
      if (isBlamedBy(blame, call)) abort(blame);
    }
  }

  #encodeBlames(blames: Blame[]): CrashNews {
    const now = monotonicMilliseconds();
    return create(CrashNewsSchema, {
      blamed: blames.map((blame) => encodeBlame(blame, now)),
    });
  }
}
