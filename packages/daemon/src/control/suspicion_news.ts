import { create } from "@bufbuild/protobuf";
import type { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import { NewsRateLimiter } from "@teaselrouter/core/news/news_rate_limiter.ts";
import type { PartWatch } from "@teaselrouter/core/crashes/part_watch.ts";
import {
  type CrashNews,
  CrashNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import { encodePartWatch } from "../transport/encode_part_watch.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { encodeReports } from "./encode_reports.ts";
import { rememberLatest } from "./remember_latest.ts";

/** Bounds the suspicions sent to each gateway to 3 KB/s. */
const MAX_SUSPICION_REPORTS_PER_SECOND = 30;
/** Bounds the watches sent to each gateway to some 3 KB/s. */
const MAX_WATCHES_PER_SECOND = 100;
const MAX_WATCHES_AT_ONCE = 32;
/** From so many crashes on, good ends on a part are watched for. */
const MIN_WATCHED_CRASHES = 2;
const WATCH_BATCH_MILLISECONDS = 50;
/** Bounds the ends told to each gateway to 2 KB/s. */
const MAX_ENDS_PER_SECOND = 32;

/**
 * Tells gateways, which see only their own attempts, which requests none should
 * retry and which prompt parts are suspected.
 */
export class SuspicionNews {
  readonly news$ = new Subject<CrashNews>();
  #ledger: CrashLedger;
  /** Fingerprints told so far; oldest first. */
  #told = new Set<string>();
  #reportBudget = new NewsRateLimiter(MAX_SUSPICION_REPORTS_PER_SECOND);
  #watchBudget = new NewsRateLimiter(MAX_WATCHES_PER_SECOND);
  #watchTimer: NodeJS.Timeout | undefined;
  /** Incarnations whose ends were told; oldest first. */
  #toldEnds = new Set<string>();
  #endBudget = new NewsRateLimiter(MAX_ENDS_PER_SECOND);

  constructor(ledger: CrashLedger) {
    this.#ledger = ledger;
  }

  stop(): void {
    clearTimeout(this.#watchTimer);
  }

  /** The current suspicions, for a new gateway; undefined if there are none. */
  current(): CrashNews | undefined {
    const reports = this.#ledger.listSuspicions().flat()
      .slice(0, MAX_SUSPICION_REPORTS_PER_SECOND);
    const now = monotonicMilliseconds();
    const watches = this.#listWatches()
      .map((watch) => encodePartWatch(watch, now));
    return reports.length + watches.length === 0
      ? undefined
      : create(CrashNewsSchema, { reports: encodeReports(reports), watches });
  }

  /**
   * Tells of those of the requests that are suspected, once. Those above the
   * budget are left until their next report.
   */
  tell(fingerprints: string[]): void {
    const now = monotonicMilliseconds();
    const untold = fingerprints
      .filter((fingerprint) => !this.#told.has(fingerprint));
    const reports: CrashReport[] = [];
    for (const suspicion of this.#ledger.listSuspicions(untold)) {
      const { fingerprint } = suspicion[0]!;
      const wanted = suspicion.length;
      if (this.#reportBudget.take(wanted, now) < wanted) break;
      rememberLatest(this.#told, fingerprint);
      reports.push(...suspicion);
    }
    if (reports.length === 0) return;
    this.news$.next(
      create(CrashNewsSchema, { reports: encodeReports(reports) }),
    );
  }

  /**
   * Tells, once, of the ends that reports are of: the request that caused one may
   * have been given up at another gateway than those that saw it.
   */
  tellEnds(reports: CrashReport[]): void {
    const now = monotonicMilliseconds();
    const ends = [];
    for (const { incarnation, crashedAt = now } of reports) {
      if (this.#toldEnds.has(incarnation)) continue;
      if (this.#endBudget.take(1, now) === 0) break;
      rememberLatest(this.#toldEnds, incarnation);
      const ageMilliseconds = Math.max(0, now - crashedAt);
      ends.push({ incarnation, ageMilliseconds });
    }
    if (ends.length > 0) this.news$.next(create(CrashNewsSchema, { ends }));
  }

  /** The requests are told of again when they are suspected anew. */
  forget(fingerprints: string[]): void {
    for (const fingerprint of fingerprints) this.#told.delete(fingerprint);
  }

  /** Tells soon for which parts good ends are watched for, the most suspected first. */
  scheduleWatches(): void {
    this.#watchTimer ??= setTimeout(() => {
      this.#watchTimer = undefined;
      this.#tellWatches();
    }, WATCH_BATCH_MILLISECONDS);
  }

  #tellWatches(): void {
    const watches = this.#listWatches();
    const now = monotonicMilliseconds();
    const granted = this.#watchBudget.take(watches.length, now);
    if (granted === 0) return;
    const told = watches.slice(0, granted);
    this.#ledger.noteWatches(told, now);
    this.news$.next(create(CrashNewsSchema, {
      watches: told.map((watch) => encodePartWatch(watch, now)),
    }));
  }

  #listWatches(): PartWatch[] {
    return this.#ledger.listPartWatches({ minCrashes: MIN_WATCHED_CRASHES })
      .slice(0, MAX_WATCHES_AT_ONCE);
  }
}
