/** Whether a call that got no complete answer has run. */
type Outcome = "not-run" | "ran" | "unknown";

/** A failure as sent to callers, in application/problem+json. */
export type Problem = {
  status: number;
  /** Stable name for the kind of failure. */
  type: string;
  detail: string;
  /** Header or body field that caused the failure. */
  field?: string;
  outcome: Outcome;
  /**
   * Whether `outcome` comes from the replicated log, so that it holds whatever
   * other entry hosts did.
   */
  isOutcomeFromLog?: boolean;
  retryAfterMilliseconds?: number;
};
