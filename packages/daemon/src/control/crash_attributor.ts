import { create } from "@bufbuild/protobuf";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import { NewsBudget } from "@teaselrouter/core/news/news_budget.ts";
import {
  type CrashNews,
  CrashNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import { Subject } from "rxjs";
import { blameFields } from "../log/blame_fields.ts";
import type { EventLog } from "../log/event_log.ts";
import { decodeBlame } from "../transport/decode_blame.ts";
import { decodeCrashReport } from "../transport/decode_crash_report.ts";
import { encodeBlame } from "../transport/encode_blame.ts";
import { encodeCrashReport } from "../transport/encode_crash_report.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Gateways hear and tell of the same end within so long of each other. */
const SETTLE_MILLISECONDS = 120;
const GATHER_MILLISECONDS = 50;
/** Told to each other control host: 10 KB. */
const MOST_REPORTS_PER_SECOND = 150;
/** Told to a host that has just come; the latest. */
const MOST_BLAMED_TOLD = 128;
/** As many as the tables keep. */
const MOST_KEPT = 256;
/** Many requests stand beside an end; each that is kept is a commit. */
const MOST_SUSPICIONS_PER_SECOND = 10;
const EXPIRE_MILLISECONDS = 10_000;

type Options = { log: EventLog };

type Suspicion = { fingerprint: string; incarnations: string[] };

/** A control host's part in finding requests that end what runs them. */
export class CrashJudge {
  /** Verdicts, for all that follow this host. */
  readonly verdicts$ = new Subject<CrashNews>();
  /** What gateways reported to this very host, for other control hosts. */
  readonly heardHere$ = new Subject<CrashNews>();
  /** Blames that were decided, or told by a gateway: to be kept durably. */
  readonly found$ = new Subject<Blame>();
  /** One end short of a blame: to be kept durably as well. */
  readonly suspected$ = new Subject<Suspicion>();
  /** Fingerprints whose blame a good end took away. */
  readonly lifted$ = new Subject<string>();
  #options: Options;
  #ledger = new CrashLedger({ settleMilliseconds: SETTLE_MILLISECONDS });
  /** Fingerprints of suspicions that were to be kept. */
  #kept = new Set<string>();
  #suspicionBudget = new NewsBudget(MOST_SUSPICIONS_PER_SECOND);
  #reports: CrashReport[] = [];
  #budget = new NewsBudget(MOST_REPORTS_PER_SECOND);
  #gatherTimer: NodeJS.Timeout | undefined;
  #decideTimer: NodeJS.Timeout | undefined;
  #expireTimer: NodeJS.Timeout;

  constructor(options: Options) {
    this.#options = options;
    this.#expireTimer = setInterval(
      () => this.#ledger.expire(monotonicMilliseconds()),
      EXPIRE_MILLISECONDS,
    );
  }

  stop(): void {
    clearTimeout(this.#gatherTimer);
    clearTimeout(this.#decideTimer);
    clearInterval(this.#expireTimer);
  }

  /** What a gateway says. */
  hear(news: CrashNews): void {
    const fresh = this.#takeReports(news);
    for (const { fingerprint } of fresh) this.#keepSuspicion(fingerprint);
    this.#gather(fresh);
    for (const blame of this.#takeVerdicts(news)) this.found$.next(blame);
  }

  /** What the replicated tables keep, at the start of this host. */
  recall(blames: Blame[]): void {
    const learnt = blames.filter((blame) => this.#ledger.learn(blame));
    if (learnt.length > 0) this.#tell(learnt, "kept");
  }

  /** What another control host says. */
  learn(news: CrashNews): void {
    this.#takeReports(news);
    this.#takeVerdicts(news);
  }

  /** The verdicts that stand, for who has just come; undefined for none. */
  standing(): CrashNews | undefined {
    const blames = this.#ledger.blames().slice(-MOST_BLAMED_TOLD);
    return blames.length === 0 ? undefined : this.#newsOf(blames);
  }

  /** What the tables keep of requests that are not blamed yet. */
  recallSuspicions(suspicions: Suspicion[]): void {
    const now = monotonicMilliseconds();
    for (const { fingerprint, incarnations } of suspicions) {
      this.#kept.add(fingerprint);
      for (const incarnation of incarnations) {
        const report = { fingerprint, incarnation, begunMilliseconds: 0 };
        this.#ledger.report(report, now);
      }
    }
  }

  #keepSuspicion(fingerprint: string): void {
    const isKept = this.#kept.has(fingerprint);
    if (isKept || this.#ledger.maySendAgain(fingerprint)) return;
    if (this.#suspicionBudget.take(1, monotonicMilliseconds()) === 0) return;
    this.#kept.add(fingerprint);
    if (this.#kept.size > MOST_KEPT) {
      this.#kept.delete(this.#kept.values().next().value!);
    }
    const incarnations = this.#ledger.incarnationsOf(fingerprint);
    this.suspected$.next({ fingerprint, incarnations });
  }

  #takeReports(news: CrashNews): CrashReport[] {
    const now = monotonicMilliseconds();
    const fresh = news.reports.map(decodeCrashReport)
      .filter((report) => this.#ledger.report(report, now));
    if (fresh.length > 0) this.#decideSoon();
    return fresh;
  }

  /** Gives back the blames that were news. */
  #takeVerdicts({ blamed, cleared }: CrashNews): Blame[] {
    const now = monotonicMilliseconds();
    const learnt = blamed
      .map((request) => decodeBlame(request, now))
      .filter((blame) => this.#ledger.learn(blame));
    if (learnt.length > 0) this.#tell(learnt, "told");
    this.#clear(cleared);
    return learnt;
  }

  #clear(fingerprints: string[]): void {
    const standing = new Set([
      ...this.#ledger.blames().map(({ fingerprint }) => fingerprint),
      ...this.#kept,
    ]);
    const kept = fingerprints
      .filter((fingerprint) => standing.has(fingerprint));
    for (const fingerprint of kept) this.#kept.delete(fingerprint);
    const cleared = fingerprints
      .filter((fingerprint) => this.#ledger.clear(fingerprint));
    if (cleared.length === 0) return;
    this.verdicts$.next(create(CrashNewsSchema, { cleared }));
    for (const fingerprint of kept) this.lifted$.next(fingerprint);
  }

  #decideSoon(): void {
    this.#decideTimer ??= setTimeout(() => {
      this.#decideTimer = undefined;
      const blames = this.#ledger.decide(monotonicMilliseconds());
      if (blames.length > 0) this.#tell(blames, "decided");
      for (const blame of blames) this.found$.next(blame);
      if (this.#ledger.isUndecided) this.#decideSoon();
    }, SETTLE_MILLISECONDS);
  }

  #tell(blames: Blame[], how: "decided" | "told" | "kept"): void {
    const now = monotonicMilliseconds();
    for (const blame of blames) {
      const fields = { ...blameFields(blame, now), how };
      this.#options.log.warn("request-blamed", fields);
    }
    this.verdicts$.next(this.#newsOf(blames));
  }

  #gather(fresh: CrashReport[]): void {
    if (fresh.length === 0) return;
    this.#reports.push(...fresh);
    this.#gatherTimer ??= setTimeout(() => {
      this.#gatherTimer = undefined;
      const now = monotonicMilliseconds();
      const most = this.#budget.take(this.#reports.length, now);
      const reports = this.#reports.slice(0, most);
      this.#reports = [];
      if (reports.length === 0) return;
      this.heardHere$.next(
        create(CrashNewsSchema, { reports: reports.map(encodeCrashReport) }),
      );
    }, GATHER_MILLISECONDS);
  }

  #newsOf(blames: Blame[]): CrashNews {
    const now = monotonicMilliseconds();
    return create(CrashNewsSchema, {
      blamed: blames.map((blame) => encodeBlame(blame, now)),
    });
  }
}
