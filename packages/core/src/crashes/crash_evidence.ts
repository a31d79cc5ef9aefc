import type { CrashReport } from "./crash_report.ts";
import { CRASHES_TO_BLAME } from "./crashes_to_blame.ts";

/**
 * Weight of a crash before the request's answer started. A request that was
 * still queued is unlikely to have caused the crash, but the start of its
 * answer can be lost with the connection, so the crash still counts.
 */
const UNSTARTED_ANSWER_WEIGHT = 0.5;
/**
 * Stands in for `begunMilliseconds` where no answer had started, so that such
 * suspects rank after those whose answers had started.
 */
const UNSTARTED_ANSWER_MILLISECONDS = 60_000;

/** `at`: when the crash was reported, monotonic milliseconds; never read. */
type ObservedCrash = { begunMilliseconds: number | undefined; at: number };

/** The backend server crashes during which one request was in flight there. */
export class CrashEvidence {
  #crashes = new Map<string, ObservedCrash>();
  /** When the latest new crash was reported, monotonic milliseconds. */
  lastReportedAt = -Infinity;
  #sufficientSince: number | undefined;

  /** Returns false if this crash was already recorded for the request. */
  add({ incarnation, begunMilliseconds }: CrashReport, now: number): boolean {
    if (this.#crashes.has(incarnation)) return false;
    this.#crashes.set(incarnation, { begunMilliseconds, at: now });
    this.lastReportedAt = now;
    if (this.weight >= CRASHES_TO_BLAME) this.#sufficientSince ??= now;
    return true;
  }

  /** Removes a crash that is attributed to another request. */
  remove(incarnation: string): void {
    this.#crashes.delete(incarnation);
    if (this.weight < CRASHES_TO_BLAME) this.#sufficientSince = undefined;
  }

  /**
   * Since when the crashes are enough for a blame, monotonic milliseconds;
   * undefined if they are not.
   */
  get sufficientSince(): number | undefined {
    return this.#sufficientSince;
  }

  get incarnations(): string[] {
    return [...this.#crashes.keys()];
  }

  reportsFor(fingerprint: string): CrashReport[] {
    return [...this.#crashes].map(([incarnation, { begunMilliseconds }]) => ({
      fingerprint,
      incarnation,
      begunMilliseconds,
    }));
  }

  get weight(): number {
    return [...this.#crashes.values()].reduce(
      (sum, { begunMilliseconds }) =>
        sum + (begunMilliseconds === undefined ? UNSTARTED_ANSWER_WEIGHT : 1),
      0,
    );
  }

  /** Mean time from the start of the request's answer to the crash. */
  get meanMillisecondsFromAnswerStart(): number {
    const sum = [...this.#crashes.values()].reduce(
      (total, { begunMilliseconds }) =>
        total + (begunMilliseconds ?? UNSTARTED_ANSWER_MILLISECONDS),
      0,
    );
    return sum / Math.max(1, this.#crashes.size);
  }
}
