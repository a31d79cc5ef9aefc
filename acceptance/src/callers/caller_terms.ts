import type { Absence } from "./absence.ts";
import type { PowerLoss } from "./power_loss.ts";

/**
 * How the callers of harmful requests behave on a day, and what happens beside
 * them.
 */
export type CallerTerms = {
  /**
   * Called for each of their requests: milliseconds until its caller leaves;
   * undefined if it stays.
   */
  drawLeaving?: () => number | undefined;
  /** How many times they send the same request again, each behind a failure. */
  repeats?: number;
  /** Milliseconds from a failure until it is sent again. */
  drawRepeatDelay?: () => number;
  /** Harmful requests a second. */
  harmfulPerSecond?: number;
  /** Harmful requests come so many at once, in milliseconds from each other. */
  crowds?: { size: number; intervalMilliseconds: number };
  /** Milliseconds from the start of an answer until its server ends. */
  drawCrashDelay?: () => number;
  powerLosses?: PowerLoss[];
  absences?: Absence[];
};
