import type { CrashReport } from "./crash_report.ts";

/**
 * What still waited there has hardly ended it; but an answer's beginning can
 * be lost with the connection, so that it counts for something.
 */
const UNBEGUN_WEIGHT = 0.5;
/** A run that has not begun goes behind all that have, among suspects. */
const UNBEGUN_MILLISECONDS = 60_000;

type Witnessed = { begunMilliseconds: number | undefined; at: number };

/** The ends of backend servers that one request was under way in. */
export class CrashEvidence {
  #ends = new Map<string, Witnessed>();
  /** When the latest report came, monotonic milliseconds. */
  reportedAt = -Infinity;

  /** Whether it is of an end that was not known for this request. */
  add({ incarnation, begunMilliseconds }: CrashReport, now: number): boolean {
    if (this.#ends.has(incarnation)) return false;
    this.#ends.set(incarnation, { begunMilliseconds, at: now });
    this.reportedAt = now;
    return true;
  }

  /** Another request is to blame for this end. */
  drop(incarnation: string): void {
    this.#ends.delete(incarnation);
  }

  get incarnations(): string[] {
    return [...this.#ends.keys()];
  }

  get weight(): number {
    return [...this.#ends.values()].reduce(
      (sum, { begunMilliseconds }) =>
        sum + (begunMilliseconds === undefined ? UNBEGUN_WEIGHT : 1),
      0,
    );
  }

  /** How soon the ends came behind the beginning of its answer, on average. */
  get meanBegunMilliseconds(): number {
    const sum = [...this.#ends.values()].reduce(
      (total, { begunMilliseconds }) =>
        total + (begunMilliseconds ?? UNBEGUN_MILLISECONDS),
      0,
    );
    return sum / Math.max(1, this.#ends.size);
  }
}
