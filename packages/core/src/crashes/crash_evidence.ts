import { countRequestCrashes } from "./count_request_crashes.ts";
import type { CrashReport } from "./crash_report.ts";
import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";
import type { CrashScene } from "./crash_scene.ts";
import type { ObservedCrash } from "./observed_crash.ts";
import { isSimilarCrash } from "./is_similar_crash.ts";

/**
 * Stands in for `begunMilliseconds` where no answer had started and it isn't known
 * when the request was sent.
 */
const UNSTARTED_ANSWER_MILLISECONDS = 60_000;
/** Enough to tell which suspects stand for the same request at a crash. */
const MAX_REQUESTS_PER_CRASH = 64;
/** Longer than backend servers that fail together take to do so. */
const MOMENT_MILLISECONDS = 100;
/** The oldest are forgotten; a blame takes a few. */
const MAX_CRASHES = 64;

/**
 * The backend server crashes at which one suspect was in flight there: a
 * request, or all requests with one prompt part.
 */
export class CrashEvidence {
  readonly kind: "request" | "part";
  #crashes = new Map<string, ObservedCrash>();
  /**
   * Incarnations whose crashes are attributed to others, and whether one of the
   * suspect's requests stood for the other as well.
   */
  #attributedElsewhere = new Map<string, { isShared: boolean }>();
  /** When the latest new crash was reported, monotonic milliseconds. */
  lastReportedAt = -Infinity;
  #sufficientSince: number | undefined;
  /** A request sent then came to its good end; earlier crashes don't count. */
  #goodAt = -Infinity;

  constructor(kind: "request" | "part") {
    this.kind = kind;
  }

  /** Returns false if this crash was already recorded for the suspect. */
  add(report: CrashReport, scene: CrashScene, now: number): boolean {
    const { fingerprint, incarnation, begunMilliseconds } = report;
    const { isGivenUp = false } = report;
    if (scene.at <= this.#goodAt) return false;
    const known = this.#crashes.get(incarnation);
    if (known !== undefined) {
      this.#addRequest(known, report);
      this.#updateSufficiency(now);
      return false;
    }
    this.#crashes.set(incarnation, {
      scene,
      begunMilliseconds,
      sentMilliseconds: listKnown(report),
      isGivenUp,
      requests: new Set([fingerprint]),
    });
    if (this.#crashes.size > MAX_CRASHES) this.#forgetOldest();
    this.lastReportedAt = now;
    this.#updateSufficiency(now);
    return true;
  }

  /**
   * The crash no longer counts, as it is attributed to another suspect. Of two
   * that were in one request it isn't known which is at fault: `isShared` keeps
   * the crash for when there is one that the other doesn't explain.
   */
  exclude(incarnation: string, { isShared }: { isShared: boolean }): void {
    if (!this.#crashes.has(incarnation)) return;
    const known = this.#attributedElsewhere.get(incarnation);
    this.#attributedElsewhere.set(incarnation, {
      isShared: isShared || (known?.isShared ?? false),
    });
    this.#updateSufficiency(this.lastReportedAt);
  }

  /** The crash counts again: its attribution was wrong. */
  include(incarnation: string): void {
    if (!this.#attributedElsewhere.delete(incarnation)) return;
    this.#updateSufficiency(this.lastReportedAt);
  }

  /**
   * Drops crashes before a request was sent that came to a good end. Returns
   * whether there were any.
   */
  clearBefore(sentAt: number): boolean {
    this.#goodAt = Math.max(this.#goodAt, sentAt);
    const before = [...this.#crashes].filter(([, { scene }]) =>
      scene.at <= sentAt
    );
    for (const [incarnation] of before) {
      this.#crashes.delete(incarnation);
      this.#attributedElsewhere.delete(incarnation);
    }
    this.#updateSufficiency(this.lastReportedAt);
    return before.length > 0;
  }

  /**
   * Since when there is enough for a blame, monotonic milliseconds; undefined if
   * there is not. For a part `judge` says so.
   */
  get sufficientSince(): number | undefined {
    return this.#sufficientSince;
  }

  /** Records whether there is enough to blame a part. */
  judge(isGuilty: boolean, now: number): void {
    if (!isGuilty) this.#sufficientSince = undefined;
    else this.#sufficientSince ??= now;
  }

  /** Number of its crashes, also of those that don't count. */
  get knownCrashes(): number {
    return this.#crashes.size;
  }

  /**
   * Incarnations whose crashes count, in the order of their reports. Those that
   * another suspect explains count once one is left that looks like them.
   */
  get incarnations(): string[] {
    const isShared = this.#hasCrashLikeShared();
    return [...this.#crashes.keys()].filter((incarnation) => {
      const attributed = this.#attributedElsewhere.get(incarnation);
      return attributed === undefined || attributed.isShared && isShared;
    });
  }

  /** Requests that the suspect stands for at a crash. */
  requestsAt(incarnation: string): ReadonlySet<string> {
    return this.#crashes.get(incarnation)?.requests ?? new Set();
  }

  /** Whether all requests that it stands for there were at other crashes, too. */
  isRepeatedAt(incarnation: string): boolean {
    const others = [...this.#crashes]
      .filter(([each]) => each !== incarnation)
      .map(([, { requests }]) => requests);
    return [...this.requestsAt(incarnation)].every((request) =>
      others.some((requests) => requests.has(request))
    );
  }

  reportsFor(fingerprint: string): CrashReport[] {
    return this.incarnations.map((incarnation) => {
      const { begunMilliseconds, isGivenUp } = this.#crashes.get(incarnation)!;
      const report = { fingerprint, incarnation, begunMilliseconds };
      return isGivenUp ? { ...report, isGivenUp } : report;
    });
  }

  /** Number of the crashes that count; for a request, those in doubt by less. */
  get weight(): number {
    const crashes = this.#counted;
    return this.kind === "part" ? crashes.length : countRequestCrashes(crashes);
  }

  /** Number of the crashes that count, or may count again. */
  get watchedCrashes(): number {
    return this.#watched.length;
  }

  /** When the first of these crashes was, monotonic milliseconds. */
  get firstWatchedAt(): number {
    return Math.min(...this.#watched.map(({ scene }) => scene.at));
  }

  /** Incarnations whose crashes others explain alone. */
  get explained(): string[] {
    const counted = new Set(this.incarnations);
    return [...this.#crashes.keys()]
      .filter((incarnation) => !counted.has(incarnation));
  }

  /**
   * Mean time from the start of the suspect's answer to the crash, or from sending
   * its request where no answer had started.
   */
  get meanMillisecondsFromAnswerStart(): number {
    const counted = this.#counted;
    const sum = counted.reduce(
      (total, { begunMilliseconds, sentMilliseconds }) =>
        total + (begunMilliseconds ??
          Math.min(UNSTARTED_ANSWER_MILLISECONDS, ...sentMilliseconds)),
      0,
    );
    return sum / Math.max(1, counted.length);
  }

  /** Mean number of the suspect's requests by crash. */
  get meanRequests(): number {
    const counted = this.#counted;
    const sum = counted.reduce(
      (total, { requests }) => total + requests.size,
      0,
    );
    return sum / Math.max(1, counted.length);
  }

  /** Mean time from sending a request to the crash, 0 if none is known. */
  get meanMillisecondsFromSending(): number {
    const times = this.#counted
      .flatMap(({ sentMilliseconds }) => sentMilliseconds);
    return times.reduce((sum, time) => sum + time, 0) /
      Math.max(1, times.length);
  }

  /**
   * Where each of the suspect's requests stands among all in flight there, from 0
   * for those sent last to 1 for those sent first.
   */
  get agePositions(): number[] {
    return this.#counted.flatMap(listAgePositions);
  }

  /** How many moments the crashes were at: one for all of a rack that fails. */
  get moments(): number {
    const times = this.#counted.map(({ scene }) => scene.at)
      .sort((left, right) => left - right);
    return times.filter((at, index) =>
      index === 0 || at - times[index - 1]! > MOMENT_MILLISECONDS
    ).length;
  }

  /** When the first of the crashes was, monotonic milliseconds. */
  get firstCrashAt(): number {
    return Math.min(...this.#counted.map(({ scene }) => scene.at));
  }

  /** When the nth of the crashes was, monotonic milliseconds. */
  crashAt(ordinal: number): number | undefined {
    return this.#counted.map(({ scene }) => scene.at)
      .sort((left, right) => left - right)[ordinal - 1];
  }

  /** When the latest of the crashes was, monotonic milliseconds. */
  get lastCrashAt(): number {
    return Math.max(...this.#counted.map(({ scene }) => scene.at));
  }

  /** Crashes for which answers are watched: also those that may count again. */
  get #watched(): ObservedCrash[] {
    return [...this.#crashes]
      .filter(([incarnation]) =>
        this.#attributedElsewhere.get(incarnation)?.isShared ?? true
      )
      .map(([, crash]) => crash);
  }

  #hasCrashLikeShared(): boolean {
    const shared = [...this.#attributedElsewhere]
      .filter(([, { isShared }]) => isShared)
      .map(([incarnation]) => this.#crashes.get(incarnation)!);
    return shared.length > 0 &&
      [...this.#crashes].some(([incarnation, crash]) =>
        !this.#attributedElsewhere.has(incarnation) &&
        isSimilarCrash(crash, shared)
      );
  }

  get #counted(): ObservedCrash[] {
    return this.incarnations
      .map((incarnation) => this.#crashes.get(incarnation)!);
  }

  #forgetOldest(): void {
    const oldest = this.#crashes.keys().next().value!;
    this.#crashes.delete(oldest);
    this.#attributedElsewhere.delete(oldest);
  }

  #addRequest(crash: ObservedCrash, report: CrashReport): void {
    const { fingerprint, begunMilliseconds, isGivenUp = false } = report;
    crash.isGivenUp &&= isGivenUp;
    const isNew = !crash.requests.has(fingerprint);
    if (isNew && crash.requests.size < MAX_REQUESTS_PER_CRASH) {
      crash.requests.add(fingerprint);
      crash.sentMilliseconds.push(...listKnown(report));
    }
    if (begunMilliseconds === undefined) return;
    crash.begunMilliseconds = Math.min(
      crash.begunMilliseconds ?? Infinity,
      begunMilliseconds,
    );
  }

  #updateSufficiency(now: number): void {
    if (this.kind === "part") return;
    this.judge(this.weight >= CRASHES_TO_BLAME, now);
  }
}

function listKnown(
  { sentMilliseconds, begunMilliseconds }: CrashReport,
): number[] {
  const known = sentMilliseconds ?? begunMilliseconds;
  return known === undefined ? [] : [known];
}

function listAgePositions({ scene, requests }: ObservedCrash): number[] {
  const all = [...scene.sentMilliseconds]
    .filter(([, age]) => !Number.isNaN(age))
    .sort(([, left], [, right]) => left - right);
  return all
    .map(([fingerprint], index) => ({ fingerprint, index }))
    .filter(({ fingerprint }) => requests.has(fingerprint))
    .map(({ index }) => (index + 1 / 2) / all.length);
}
