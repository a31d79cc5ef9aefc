import { create } from "@bufbuild/protobuf";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import { NewsBudget } from "@teaselrouter/core/news/news_budget.ts";
import {
  type CrashNews,
  CrashNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import type { Observable } from "rxjs";
import { blameFields } from "../log/blame_fields.ts";
import type { EventLog } from "../log/event_log.ts";
import { decodeBlame } from "../transport/decode_blame.ts";
import { encodeBlame } from "../transport/encode_blame.ts";
import { encodeCrashReport } from "../transport/encode_crash_report.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { EndedServer } from "./ended_server.ts";
import { fingerprintCall } from "./fingerprint_call.ts";

/**
 * Control hosts hear of an end from all gateways, and judge better: their
 * verdict comes sooner than this, unless the gateway is cut off from them.
 */
const SETTLE_MILLISECONDS = 500;
const GATHER_MILLISECONDS = 50;
/** Told to each control host that is followed: 3 KB. */
const MOST_REPORTS_PER_SECOND = 48;
const MOST_BLAMED_TOLD = 64;

type UnderWay = {
  call: AdmittedCall;
  /** Called once it is blamed. */
  end: (blame: Blame) => void;
};

type Options = {
  ended$: Observable<EndedServer>;
  news$: Observable<CrashNews>;
  tell: (news: CrashNews) => void;
  log: EventLog;
};

/** A gateway's part in finding requests that end what runs them. */
export class CrashReporter {
  #options: Options;
  #ledger = new CrashLedger({ settleMilliseconds: SETTLE_MILLISECONDS });
  #underWay = new Set<UnderWay>();
  #reports: CrashReport[] = [];
  #budget = new NewsBudget(MOST_REPORTS_PER_SECOND);
  #gatherTimer: NodeJS.Timeout | undefined;
  #decideTimer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    options.ended$.subscribe((ended) => this.#takeEnd(ended));
    options.news$.subscribe((news) => this.#learn(news));
  }

  stop(): void {
    clearTimeout(this.#gatherTimer);
    clearTimeout(this.#decideTimer);
  }

  /** Why a request is not to be sent now; undefined where it may be. */
  refusal(call: AdmittedCall): Blame | undefined {
    if (!this.#ledger.hasBlamed) return undefined;
    const now = monotonicMilliseconds();
    return this.#ledger.refusal(fingerprintCall(call), now);
  }

  /** Whether this host may send it once more of its own accord. */
  maySendAgain(call: AdmittedCall): boolean {
    return this.#ledger.suspectCount === 0 ||
      this.#ledger.maySendAgain(fingerprintCall(call));
  }

  /** @returns ends the watch. */
  watch(underWay: UnderWay): () => void {
    this.#underWay.add(underWay);
    return () => void this.#underWay.delete(underWay);
  }

  noteGoodEnd(call: AdmittedCall): void {
    if (this.#ledger.suspectCount === 0 && !this.#ledger.hasBlamed) return;
    const fingerprint = fingerprintCall(call);
    if (!this.#ledger.clear(fingerprint)) return;
    this.#options.tell(create(CrashNewsSchema, { cleared: [fingerprint] }));
  }

  /** For a control host that has just been turned to: it may know nothing. */
  standing(): CrashNews | undefined {
    const blames = this.#ledger.blames().slice(-MOST_BLAMED_TOLD);
    return blames.length === 0 ? undefined : this.#newsOf(blames);
  }

  forget(): void {
    this.#ledger.expire(monotonicMilliseconds());
  }

  #takeEnd({ standing, interrupted }: EndedServer): void {
    const now = monotonicMilliseconds();
    const incarnation = `${standing.instance}@${standing.bornAt}`;
    for (const { fingerprint, begunMilliseconds } of interrupted) {
      const report = { fingerprint, incarnation, begunMilliseconds };
      if (this.#ledger.report(report, now)) this.#reports.push(report);
    }
    this.#decideSoon();
    this.#gatherTimer ??= setTimeout(
      () => this.#tellReports(),
      GATHER_MILLISECONDS,
    );
  }

  /** With too many to tell, those of whom most is known already go first. */
  #tellReports(): void {
    this.#gatherTimer = undefined;
    const now = monotonicMilliseconds();
    const told = this.#reports
      .sort((left, right) => this.#weigh(right) - this.#weigh(left))
      .slice(0, this.#budget.take(this.#reports.length, now));
    const leftOut = this.#reports.length - told.length;
    this.#reports = [];
    if (leftOut > 0) {
      this.#options.log.warn("crash-reports-left-out", { count: leftOut });
    }
    if (told.length === 0) return;
    const reports = told.map(encodeCrashReport);
    this.#options.tell(create(CrashNewsSchema, { reports }));
  }

  #weigh({ fingerprint, begunMilliseconds }: CrashReport): number {
    const soon = begunMilliseconds === undefined
      ? 0
      : 1 / (1 + begunMilliseconds);
    return this.#ledger.weightOf(fingerprint) + soon;
  }

  #decideSoon(): void {
    this.#decideTimer ??= setTimeout(() => {
      this.#decideTimer = undefined;
      const blames = this.#ledger.decide(monotonicMilliseconds());
      if (blames.length > 0) {
        this.#takeBlames(blames, "decided");
        this.#options.tell(this.#newsOf(blames));
      }
      if (this.#ledger.isUndecided) this.#decideSoon();
    }, SETTLE_MILLISECONDS);
  }

  #learn({ blamed, cleared }: CrashNews): void {
    const now = monotonicMilliseconds();
    for (const fingerprint of cleared) this.#ledger.clear(fingerprint);
    const learnt = blamed
      .map((request) => decodeBlame(request, now))
      .filter((blame) => this.#ledger.learn(blame));
    if (learnt.length > 0) this.#takeBlames(learnt, "told");
  }

  #takeBlames(blames: Blame[], how: "decided" | "told"): void {
    const now = monotonicMilliseconds();
    for (const blame of blames) {
      const fields = { ...blameFields(blame, now), how };
      this.#options.log.warn("request-blamed", fields);
      this.#endUnderWay(blame);
    }
  }

  #endUnderWay(blame: Blame): void {
    for (const { call, end } of [...this.#underWay]) {
      if (fingerprintCall(call) === blame.fingerprint) end(blame);
    }
  }

  #newsOf(blames: Blame[]): CrashNews {
    const now = monotonicMilliseconds();
    return create(CrashNewsSchema, {
      blamed: blames.map((blame) => encodeBlame(blame, now)),
    });
  }
}
