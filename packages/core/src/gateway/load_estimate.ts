import type { BackendRecord } from "./backend_record.ts";

/** Tells how many requests a backend server has now. */
export interface LoadEstimate {
  /**
   * Requests of all callers there; can be a fraction.
   *
   * @param now monotonic milliseconds.
   */
  estimate(record: BackendRecord, now: number): number;
}
