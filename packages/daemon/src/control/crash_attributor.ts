import { create } from "@bufbuild/protobuf";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { CrashRow } from "@teaselrouter/core/crashes/crash_row.ts";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import type { GoodEndOutcome } from "@teaselrouter/core/crashes/good_end_outcome.ts";
import type { GoodEnd } from "@teaselrouter/core/crashes/good_end.ts";
import { TrialPermits } from "@teaselrouter/core/crashes/trial_permits.ts";
import { NewsRateLimiter } from "@teaselrouter/core/news/news_rate_limiter.ts";
import {
  type CrashNews,
  CrashNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import { type Observable, Subject } from "rxjs";
import { toBlameFields } from "../log/to_blame_fields.ts";
import type { EventLog } from "../log/event_log.ts";
import { decodeBlame } from "../transport/decode_blame.ts";
import { decodeCrashReport } from "../transport/decode_crash_report.ts";
import { encodeBlame } from "../transport/encode_blame.ts";
import { decodeGoodEnds } from "../transport/decode_good_ends.ts";
import { decodePartGoodEnds } from "../transport/decode_part_good_ends.ts";
import { encodePartGoodEnd } from "../transport/encode_part_good_end.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { encodeReports } from "./encode_reports.ts";
import { GoodEndSources } from "./good_end_sources.ts";
import { rememberLatest } from "./remember_latest.ts";
import { SuspicionNews } from "./suspicion_news.ts";

/** Gateways detect and report the same server's end within this time. */
const DECISION_DELAY_MILLISECONDS = 120;
const REPORT_BATCH_MILLISECONDS = 50;
/** Bounds the reports sent to each other control host to 10 KB/s. */
const MAX_REPORTS_PER_SECOND = 150;
/** A newly connected follower gets the latest blames, up to this number. */
const MAX_INITIAL_BLAMES = 128;
/**
 * Many requests are in flight when a backend server ends, and each persisted
 * suspicion costs a commit.
 */
const MAX_SUSPICIONS_PER_SECOND = 10;
const EXPIRE_INTERVAL_MILLISECONDS = 10_000;
const MAX_EVIDENCE_LINES_PER_SECOND = 2;
const SUSPECTS_PER_LINE = 6;

type Options = {
  log: EventLog;
  /** Whether this host leads the control hosts now. */
  isLeading: () => boolean;
};

type BlameSource = "decided" | "told" | "kept" | "narrowed";

type Suspicion = { fingerprint: string; incarnations: string[] };

/**
 * Finds requests that end the backend servers running them, from the reports
 * of gateways and other control hosts. A request found responsible is blamed:
 * gateways refuse it for a limited term.
 */
export class CrashAttributor {
  /** New and cleared blames, for all followers of this host. */
  readonly blameNews$ = new Subject<CrashNews>();
  /**
   * Reports of requests that no gateway should retry, as one more crash could
   * be enough to blame them, and prompt parts of which good ends are to be
   * reported; for gateways, which see only their own attempts.
   */
  readonly suspicionNews$: Observable<CrashNews>;
  /** Reports that gateways sent to this host, for other control hosts. */
  readonly localReports$ = new Subject<CrashNews>();
  /** Blames decided here or sent by a gateway, to be committed. */
  readonly blamed$ = new Subject<Blame>();
  /**
   * Requests that would be blamed after one more crash, to be committed as
   * well.
   */
  readonly suspected$ = new Subject<Suspicion>();
  /** Fingerprints cleared because the request completed successfully. */
  readonly cleared$ = new Subject<string>();
  #options: Options;
  #ledger = new CrashLedger({
    decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
  });
  /** Fingerprints emitted as suspicions or restored; oldest first. */
  #persisted = new Set<string>();
  #persistBudget = new NewsRateLimiter(MAX_SUSPICIONS_PER_SECOND);
  #goodEndSources = new GoodEndSources();
  #suspicions = new SuspicionNews(this.#ledger);
  #trialPermits = new TrialPermits();
  #evidenceLines = new NewsRateLimiter(MAX_EVIDENCE_LINES_PER_SECOND);
  #queuedReports: CrashReport[] = [];
  #reportBudget = new NewsRateLimiter(MAX_REPORTS_PER_SECOND);
  #reportTimer: NodeJS.Timeout | undefined;
  #decideTimer: NodeJS.Timeout | undefined;
  #expireTimer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.suspicionNews$ = this.#suspicions.news$;
    this.#expireTimer = setInterval(
      () => this.#ledger.expire(monotonicMilliseconds()),
      EXPIRE_INTERVAL_MILLISECONDS,
    );
  }

  stop(): void {
    clearTimeout(this.#reportTimer);
    this.#suspicions.stop();
    clearTimeout(this.#decideTimer);
    clearInterval(this.#expireTimer);
  }

  /** Adds news from a gateway that follows this host by the given session. */
  addLocalNews(news: CrashNews, session: object): void {
    const added = this.#addReports(news);
    for (const { fingerprint } of added) this.#persistSuspicion(fingerprint);
    this.#queueReports(added);
    for (const blame of this.#addBlames(news)) this.blamed$.next(blame);
    this.#addLocalGoodEnds(news, session);
    this.#addRunning(news, session);
    this.#permitTrials(news);
  }

  /**
   * To be called when a follower's session is over: what its gateway had counted
   * speaks against no part any more.
   */
  endSession(session: object): void {
    this.#forgetGoodEnds(this.#goodEndSources.end(session));
  }

  /** Adds the blames in the replicated state when this host starts. */
  restoreBlames(blames: Blame[]): void {
    const newBlames = blames.filter((blame) => this.#ledger.mergeBlame(blame));
    if (newBlames.length > 0) this.#publishBlames(newBlames, "kept");
  }

  /** Adds news from another control host. */
  addRemoteNews(news: CrashNews): void {
    this.#addReports(news);
    this.#addBlames(news);
    const now = monotonicMilliseconds();
    this.#addPassedGoodEnds(news, now);
    for (const { fingerprint } of news.trialsPermitted) {
      this.#trialPermits.record(fingerprint, now);
      this.#ledger.beginTrial(fingerprint, now);
    }
  }

  /** The current blames, for a new follower; undefined if there are none. */
  currentBlames(): CrashNews | undefined {
    const blames = this.#ledger.listBlames().slice(-MAX_INITIAL_BLAMES);
    return blames.length === 0 ? undefined : this.#encodeBlames(blames);
  }

  /** The current suspicions, for a new gateway; undefined if there are none. */
  currentSuspicions(): CrashNews | undefined {
    return this.#suspicions.current();
  }

  /** Adds the evidence in the replicated state on requests not blamed yet. */
  restoreSuspicions(suspicions: Suspicion[]): void {
    const now = monotonicMilliseconds();
    for (const { fingerprint, incarnations } of suspicions) {
      this.#persisted.add(fingerprint);
      for (const incarnation of incarnations) {
        // A stored suspicion doesn't say how long the answers ran. 0 counts
        // each crash in full; undefined would count it half.
        const report = { fingerprint, incarnation, begunMilliseconds: 0 };
        this.#ledger.recordReport(report, now);
      }
    }
    // Gateways may follow this host before it knows its log. The latest come
    // first, as the budget leaves out some.
    this.#suspicions.tell(
      suspicions.map(({ fingerprint }) => fingerprint).reverse(),
    );
  }

  /** Adds the crashes in the replicated state when this host starts. */
  restoreCrashes(rows: CrashRow[]): void {
    const monotonic = monotonicMilliseconds();
    const clocks = { monotonic, timeOfDay: Date.now() };
    for (const row of rows) this.#ledger.restoreCrash(row, clocks);
    if (rows.length === 0) return;
    this.#suspicions.scheduleWatches();
    this.#options.log.info("crashes-restored", { crashes: rows.length });
  }

  /** Rows of the crashes of which more is known than is stored. */
  listUnkeptCrashes(kept: ReadonlyMap<string, CrashRow>): CrashRow[] {
    if (this.#ledger.suspectCount === 0) return [];
    const monotonic = monotonicMilliseconds();
    return this.#ledger.listUnkept(kept, { monotonic, timeOfDay: Date.now() });
  }

  #persistSuspicion(fingerprint: string): void {
    if (this.#persisted.has(fingerprint)) return;
    if (this.#ledger.listSuspicions([fingerprint]).length === 0) return;
    if (this.#persistBudget.take(1, monotonicMilliseconds()) === 0) return;
    rememberLatest(this.#persisted, fingerprint);
    const incarnations = this.#ledger.incarnationsOf(fingerprint);
    this.suspected$.next({ fingerprint, incarnations });
  }

  #addReports(news: CrashNews): CrashReport[] {
    const now = monotonicMilliseconds();
    const newReports = news.reports
      .map((report) => decodeCrashReport(report, now))
      .filter((report) => this.#ledger.recordReport(report, now));
    if (newReports.length === 0) return [];
    this.#scheduleDecision();
    this.#suspicions.scheduleWatches();
    this.#suspicions.tellEnds(newReports);
    this.#suspicions.tell(newReports.map(({ fingerprint }) => fingerprint));
    return newReports;
  }

  /**
   * Adds what a gateway tells of good ends. Those that clear a part are passed on;
   * other control hosts do so with theirs.
   */
  #addLocalGoodEnds({ goodEnds }: CrashNews, session: object): void {
    if (goodEnds === undefined) return;
    const now = monotonicMilliseconds();
    const { source } = goodEnds;
    this.#forgetGoodEnds(this.#goodEndSources.record(source, session));
    const news = decodeGoodEnds(goodEnds, now);
    const changes = this.#ledger.addGoodEnds(source, news);
    this.#publishChanges(changes);
    if (changes.length > 0) {
      const partGoodEnds = changes
        .map(({ end }) => encodePartGoodEnd(end, now));
      this.blameNews$.next(create(CrashNewsSchema, { partGoodEnds }));
    }
    this.#scheduleIfPending(now);
  }

  #addRunning({ running }: CrashNews, session: object): void {
    if (running === undefined) return;
    const now = monotonicMilliseconds();
    const { source } = running;
    this.#forgetGoodEnds(this.#goodEndSources.record(source, session));
    this.#ledger.addRunningAnswers(source, decodeGoodEnds(running, now));
    this.#scheduleIfPending(now);
  }

  /** Adds good ends that another control host passes on. */
  #addPassedGoodEnds({ partGoodEnds }: CrashNews, now: number): void {
    if (partGoodEnds.length === 0) return;
    const changes = decodePartGoodEnds(partGoodEnds, now)
      .map((end) => ({ end, outcome: this.#ledger.recordGoodEnd(end) }));
    this.#publishChanges(changes);
    this.#scheduleIfPending(now);
  }

  #publishChanges(changes: { end: GoodEnd; outcome: GoodEndOutcome }[]): void {
    for (const { end, outcome } of changes) {
      if (outcome.lifted.length > 0) this.#publishLifted(end, outcome);
    }
  }

  #forgetGoodEnds(source: string | undefined): void {
    if (source !== undefined) this.#ledger.forgetGoodEndsOf(source);
  }

  /** Permits the trial runs that gateways ask for, each to one gateway. */
  #permitTrials({ trialsWanted }: CrashNews): void {
    if (!this.#options.isLeading()) return;
    const now = monotonicMilliseconds();
    const trialsPermitted = trialsWanted.filter(({ fingerprint }) =>
      !this.#ledger.isRefused(fingerprint, now) &&
      this.#trialPermits.tryBegin(fingerprint, now)
    );
    if (trialsPermitted.length === 0) return;
    for (const { fingerprint, host } of trialsPermitted) {
      this.#ledger.beginTrial(fingerprint, now);
      this.#options.log.info("trial-permitted", { fingerprint, host });
    }
    this.blameNews$.next(create(CrashNewsSchema, { trialsPermitted }));
  }

  #publishLifted(
    { part, sentAt, endedAt }: GoodEnd,
    { lifted, narrowed }: GoodEndOutcome,
  ): void {
    this.#options.log.warn("blame-lifted", {
      lifted: lifted.join(","),
      part,
      run_milliseconds: Math.round(endedAt - sentAt),
    });
    this.blameNews$.next(create(CrashNewsSchema, { cleared: lifted }));
    for (const name of lifted) this.cleared$.next(name);
    if (narrowed.length > 0) this.#publishBlames(narrowed, "narrowed");
    for (const blame of narrowed) this.blamed$.next(blame);
  }

  /** Adds blames and clears others; returns the blames that were new. */
  #addBlames({ blamed, cleared }: CrashNews): Blame[] {
    const now = monotonicMilliseconds();
    const blames = blamed.map((request) => decodeBlame(request, now));
    const newBlames = blames
      .filter((blame) => this.#ledger.mergeBlame(blame));
    if (newBlames.length > 0) this.#publishBlames(newBlames, "told");
    const lifted = blames.filter((blame) => this.#ledger.hasLifted(blame))
      .map(({ fingerprint }) => fingerprint);
    if (lifted.length > 0) {
      this.#options.log.info("blame-lifted", {
        lifted: lifted.join(","),
        how: "told",
      });
      this.blameNews$.next(create(CrashNewsSchema, { cleared: lifted }));
    }
    this.#clear(cleared);
    return newBlames;
  }

  #clear(fingerprints: string[]): void {
    const recorded = new Set([
      ...this.#ledger.listBlames().map(({ fingerprint }) => fingerprint),
      ...this.#persisted,
    ]);
    const committed = fingerprints
      .filter((fingerprint) => recorded.has(fingerprint));
    for (const fingerprint of committed) this.#persisted.delete(fingerprint);
    this.#suspicions.forget(fingerprints);
    const cleared = fingerprints
      .filter((fingerprint) => this.#ledger.clear(fingerprint));
    if (cleared.length === 0) return;
    this.blameNews$.next(create(CrashNewsSchema, { cleared }));
    for (const fingerprint of committed) this.cleared$.next(fingerprint);
  }

  #scheduleIfPending(now: number): void {
    if (this.#decideTimer !== undefined) return;
    if (this.#ledger.hasPendingSuspects(now)) this.#scheduleDecision();
  }

  #scheduleDecision(): void {
    this.#decideTimer ??= setTimeout(() => {
      this.#decideTimer = undefined;
      this.#logEvidence();
      const now = monotonicMilliseconds();
      const blames = this.#ledger.blameSuspects(now);
      if (blames.length > 0) this.#publishBlames(blames, "decided");
      for (const blame of blames) this.blamed$.next(blame);
      this.#scheduleIfPending(now);
    }, DECISION_DELAY_MILLISECONDS);
  }

  #logEvidence(): void {
    const now = monotonicMilliseconds();
    if (this.#evidenceLines.take(1, now) === 0) return;
    const limit = SUSPECTS_PER_LINE;
    this.#options.log.info("crash-evidence", {
      suspects: this.#ledger.describeEvidence({ limit, now }).join(","),
    });
  }

  #publishBlames(blames: Blame[], how: BlameSource): void {
    const now = monotonicMilliseconds();
    for (const blame of blames) {
      const fields = { ...toBlameFields(blame, now), how };
      this.#options.log.warn("request-blamed", fields);
    }
    this.blameNews$.next(this.#encodeBlames(blames));
  }

  #queueReports(newReports: CrashReport[]): void {
    if (newReports.length === 0) return;
    this.#queuedReports.push(...newReports);
    this.#reportTimer ??= setTimeout(() => {
      this.#reportTimer = undefined;
      const now = monotonicMilliseconds();
      const allowed = this.#reportBudget.take(this.#queuedReports.length, now);
      const reports = this.#queuedReports.slice(0, allowed);
      this.#queuedReports = [];
      if (reports.length === 0) return;
      this.localReports$.next(
        create(CrashNewsSchema, { reports: encodeReports(reports) }),
      );
    }, REPORT_BATCH_MILLISECONDS);
  }

  #encodeBlames(blames: Blame[]): CrashNews {
    const now = monotonicMilliseconds();
    return create(CrashNewsSchema, {
      blamed: blames.map((blame) => encodeBlame(blame, now)),
    });
  }
}
