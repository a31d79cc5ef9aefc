import type { CrashReport } from "./crash_report.ts";

/** All that is known of one crash, whoever was in flight there. */
export type CrashScene = {
  /** When the backend server crashed, monotonic milliseconds. */
  at: number;
  /**
   * When its first report arrived, monotonic milliseconds; Infinity for a stored
   * crash until another is reported, as all of it is stored already.
   */
  knownAt: number;
  /**
   * Time from sending each request that was in flight to the crash, milliseconds,
   * by fingerprint; NaN if not known.
   */
  sentMilliseconds: Map<string, number>;
  /** Whether any of them has prompt parts. */
  hasParts: boolean;
  /** Of all in flight, the ones that had been sent last. */
  youngest: CrashReport[];
};
