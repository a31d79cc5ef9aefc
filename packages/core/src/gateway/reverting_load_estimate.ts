import type { BackendRecord } from "./backend_record.ts";
import type { LoadEstimate } from "./load_estimate.ts";

/**
 * Expects the load that a report tells to go back to its mean as the report
 * ages.
 *
 * Answers the load in which nearly all slots are in use and each host sends to
 * the backend server that last reported few requests: when the next report
 * comes, it has a queue while others have free slots. What a host knows without
 * delay, its own requests, then counts for more than what it is told.
 */
export class RevertingLoadEstimate implements LoadEstimate {
  estimate(record: BackendRecord, now: number): number {
    return record.estimateRevertedRequests(now);
  }
}
