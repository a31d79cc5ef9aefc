import type { PartWatch } from "@teaselrouter/core/crashes/part_watch.ts";
import type { Survival } from "@teaselrouter/core/crashes/survival.ts";
import { NewsRateLimiter } from "@teaselrouter/core/news/news_rate_limiter.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { InFlightCall } from "./in_flight_call.ts";

const CHECK_INTERVAL_MILLISECONDS = 50;
/** How long a part is watched for after its latest watch was set. */
const WATCH_MILLISECONDS = 60_000;
const MAX_WATCHED_PARTS = 512;
/** Amounts to 3 KB a second for each control host that is followed. */
const MAX_SURVIVALS_PER_SECOND = 64;

type WatchedPart = PartWatch & {
  until: number;
  /** When the latest reported survival had begun. */
  reportedBegunAt: number;
};

type Options = {
  listCalls: () => Iterable<InFlightCall>;
  report: (survivals: Survival[]) => void;
};

/**
 * Looks out for answers that survive on suspected prompt parts. Many requests
 * share a part; which of their answers come to their ends tells a harmless part
 * from one that crashes backend servers, at any gateway.
 */
export class SurvivalWatch {
  #options: Options;
  /** By part; the latest watch is last. */
  #parts = new Map<string, WatchedPart>();
  #ended: Survival[] = [];
  #rateLimiter = new NewsRateLimiter(MAX_SURVIVALS_PER_SECOND);
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  watch(watches: PartWatch[]): void {
    const until = monotonicMilliseconds() + WATCH_MILLISECONDS;
    for (const watch of watches) {
      const { reportedBegunAt = -Infinity } = this.#parts.get(watch.part) ?? {};
      this.#parts.delete(watch.part);
      this.#parts.set(watch.part, { ...watch, until, reportedBegunAt });
      if (this.#parts.size > MAX_WATCHED_PARTS) {
        this.#parts.delete(this.#parts.keys().next().value!);
      }
    }
    if (this.#parts.size === 0) return;
    this.#timer ??= setInterval(
      () => this.#check(),
      CHECK_INTERVAL_MILLISECONDS,
    );
  }

  /** To be called for each answer that has come to a good end. */
  recordEnd(call: AdmittedCall, begunAt: number): void {
    if (this.#parts.size === 0) return;
    const livedMilliseconds = monotonicMilliseconds() - begunAt;
    for (const part of call.metadata.sharedParts) {
      const watched = this.#parts.get(part);
      if (watched === undefined || begunAt <= watched.since) continue;
      if (livedMilliseconds <= watched.thresholds.complete) continue;
      this.#ended.push({ part, begunAt, livedMilliseconds, isComplete: true });
    }
  }

  #check(): void {
    const now = monotonicMilliseconds();
    for (const [part, { until }] of this.#parts) {
      if (now > until) this.#parts.delete(part);
    }
    if (this.#parts.size === 0) this.stop();
    const survivals = this.#selectLatest([
      ...this.#ended,
      ...this.#findRunning(),
    ]);
    this.#ended = [];
    const granted = this.#rateLimiter.take(survivals.length, now);
    if (granted === 0) return;
    const reported = survivals.slice(0, granted);
    for (const { part, begunAt } of reported) {
      this.#parts.get(part)!.reportedBegunAt = begunAt;
    }
    this.#options.report(reported);
  }

  #findRunning(): Survival[] {
    const survivals: Survival[] = [];
    for (const { call, progress } of this.#options.listCalls()) {
      const { begunAt, lastReceivedAt } = progress() ?? {};
      if (begunAt === undefined) continue;
      const livedMilliseconds = lastReceivedAt!() - begunAt;
      for (const part of call.metadata.sharedParts) {
        const watched = this.#parts.get(part);
        if (watched === undefined || begunAt <= watched.since) continue;
        if (livedMilliseconds < watched.thresholds.running) continue;
        survivals.push({ part, begunAt, livedMilliseconds, isComplete: false });
      }
    }
    return survivals;
  }

  /** The survival of each part that began last, if it wasn't reported yet. */
  #selectLatest(survivals: Survival[]): Survival[] {
    const latest = new Map<string, Survival>();
    for (const survival of survivals) {
      const { part, begunAt } = survival;
      const reportedBegunAt = this.#parts.get(part)?.reportedBegunAt;
      if (reportedBegunAt === undefined || begunAt <= reportedBegunAt) continue;
      if (begunAt <= (latest.get(part)?.begunAt ?? -Infinity)) continue;
      latest.set(part, survival);
    }
    return [...latest.values()];
  }
}
