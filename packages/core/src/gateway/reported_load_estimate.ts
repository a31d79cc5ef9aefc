import type { BackendRecord } from "./backend_record.ts";
import type { LoadEstimate } from "./load_estimate.ts";

/** Takes a fresh load report for the load now. */
export class ReportedLoadEstimate implements LoadEstimate {
  estimate(record: BackendRecord, now: number): number {
    return record.estimateRequests(now);
  }
}
