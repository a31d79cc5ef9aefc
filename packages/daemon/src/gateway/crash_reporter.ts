import { create } from "@bufbuild/protobuf";
import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import { CrashLedger } from "@teaselrouter/core/crashes/crash_ledger.ts";
import type { CrashReport } from "@teaselrouter/core/crashes/crash_report.ts";
import { NewsRateLimiter } from "@teaselrouter/core/news/news_rate_limiter.ts";
import { incarnationOf } from "@teaselrouter/core/membership/incarnation_of.ts";
import {
  type CrashNews,
  CrashNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import type { Observable } from "rxjs";
import { toBlameFields } from "../log/to_blame_fields.ts";
import type { EventLog } from "../log/event_log.ts";
import { decodeBlame } from "../transport/decode_blame.ts";
import { decodeCrashReport } from "../transport/decode_crash_report.ts";
import { encodeBlame } from "../transport/encode_blame.ts";
import { encodeCrashReport } from "../transport/encode_crash_report.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { EndedServer } from "./ended_server.ts";
import { fingerprintCall } from "./fingerprint_call.ts";

/**
 * How long this gateway waits after a crash before it blames a request itself.
 * Control hosts get the reports of all gateways, decide better, and send their
 * blame within this time (they wait 120 ms); the gateway's own decision matters
 * when it is cut off from them.
 */
const DECISION_DELAY_MILLISECONDS = 500;
const REPORT_BATCH_MILLISECONDS = 50;
/** Amounts to 3 KB a second for each control host that is followed. */
const MAX_REPORTS_PER_SECOND = 48;
/** A newly followed control host gets the latest blames, up to this number. */
const MAX_INITIAL_BLAMES = 64;

type InFlightCall = {
  call: AdmittedCall;
  /** Called once the request is blamed. */
  abort: (blame: Blame) => void;
};

type Options = {
  ended$: Observable<EndedServer>;
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
  #ledger = new CrashLedger({
    decisionDelayMilliseconds: DECISION_DELAY_MILLISECONDS,
  });
  #callsInFlight = new Set<InFlightCall>();
  #reports: CrashReport[] = [];
  #rateLimiter = new NewsRateLimiter(MAX_REPORTS_PER_SECOND);
  #reportTimer: NodeJS.Timeout | undefined;
  #decideTimer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    options.ended$.subscribe((ended) => this.#recordEnd(ended));
    options.updates$.subscribe((update) => this.#applyUpdate(update));
  }

  stop(): void {
    clearTimeout(this.#reportTimer);
    clearTimeout(this.#decideTimer);
  }

  /**
   * Returns the blame for which a request must not be sent now, undefined if it
   * may be. Once the blame's term has ended, the first call returns undefined,
   * so that one request runs as a trial.
   */
  checkBlame(call: AdmittedCall): Blame | undefined {
    if (!this.#ledger.hasBlamed) return undefined;
    const now = monotonicMilliseconds();
    return this.#ledger.checkBlame(fingerprintCall(call), now);
  }

  /** Whether this host may retry the request on its own. */
  mayRetry(call: AdmittedCall): boolean {
    return this.#ledger.suspectCount === 0 ||
      this.#ledger.mayRetry(fingerprintCall(call));
  }

  /** @returns a function that ends the watch. */
  watch(inFlightCall: InFlightCall): () => void {
    this.#callsInFlight.add(inFlightCall);
    return () => void this.#callsInFlight.delete(inFlightCall);
  }

  recordSuccess(call: AdmittedCall): void {
    if (this.#ledger.suspectCount === 0 && !this.#ledger.hasBlamed) return;
    const fingerprint = fingerprintCall(call);
    if (!this.#ledger.clear(fingerprint)) return;
    this.#options.publish(create(CrashNewsSchema, { cleared: [fingerprint] }));
  }

  /**
   * Latest blames, for a control host that this gateway begins to follow and
   * that may know nothing; undefined for none.
   */
  currentBlames(): CrashNews | undefined {
    const blames = this.#ledger.listBlames().slice(-MAX_INITIAL_BLAMES);
    return blames.length === 0 ? undefined : this.#encodeBlames(blames);
  }

  expire(): void {
    this.#ledger.expire(monotonicMilliseconds());
  }

  #recordEnd({ announcement, interrupted }: EndedServer): void {
    const now = monotonicMilliseconds();
    // One start of one backend server.
    const incarnation = incarnationOf(announcement);
    for (const { fingerprint, begunMilliseconds } of interrupted) {
      const report = { fingerprint, incarnation, begunMilliseconds };
      if (this.#ledger.recordReport(report, now)) this.#reports.push(report);
    }
    this.#scheduleDecision();
    this.#reportTimer ??= setTimeout(
      () => this.#publishReports(),
      REPORT_BATCH_MILLISECONDS,
    );
  }

  /**
   * Publishes the gathered reports. If there are too many, those of requests
   * with the most evidence go first.
   */
  #publishReports(): void {
    this.#reportTimer = undefined;
    const now = monotonicMilliseconds();
    const published = this.#reports
      .sort((left, right) =>
        this.#reportPriority(right) - this.#reportPriority(left)
      )
      .slice(0, this.#rateLimiter.take(this.#reports.length, now));
    const droppedCount = this.#reports.length - published.length;
    this.#reports = [];
    if (droppedCount > 0) {
      this.#options.log.warn("crash-reports-left-out", { count: droppedCount });
    }
    if (published.length === 0) return;
    const reports = published.map(encodeCrashReport);
    this.#options.publish(create(CrashNewsSchema, { reports }));
  }

  #reportPriority({ fingerprint, begunMilliseconds }: CrashReport): number {
    const soon = begunMilliseconds === undefined
      ? 0
      : 1 / (1 + begunMilliseconds);
    return this.#ledger.evidenceWeightOf(fingerprint) + soon;
  }

  #scheduleDecision(): void {
    this.#decideTimer ??= setTimeout(() => {
      this.#decideTimer = undefined;
      const blames = this.#ledger.blameSuspects(monotonicMilliseconds());
      if (blames.length > 0) {
        this.#applyBlames(blames, "decided");
        this.#options.publish(this.#encodeBlames(blames));
      }
      if (this.#ledger.hasPendingSuspects) this.#scheduleDecision();
    }, DECISION_DELAY_MILLISECONDS);
  }

  #applyUpdate({ reports, blamed, cleared }: CrashNews): void {
    const now = monotonicMilliseconds();
    for (const fingerprint of cleared) this.#ledger.clear(fingerprint);
    for (const report of reports) {
      this.#ledger.recordReport(decodeCrashReport(report), now);
    }
    if (reports.length > 0) this.#scheduleDecision();
    const learnt = blamed
      .map((request) => decodeBlame(request, now))
      .filter((blame) => this.#ledger.mergeBlame(blame));
    if (learnt.length > 0) this.#applyBlames(learnt, "told");
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
      if (fingerprintCall(call) === blame.fingerprint) abort(blame);
    }
  }

  #encodeBlames(blames: Blame[]): CrashNews {
    const now = monotonicMilliseconds();
    return create(CrashNewsSchema, {
      blamed: blames.map((blame) => encodeBlame(blame, now)),
    });
  }
}
