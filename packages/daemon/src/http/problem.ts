/** What became of a call that got no whole answer. */
type Outcome = "not-run" | "ran" | "unknown";

/** A failure as callers see it, application/problem+json. */
export type Problem = {
  status: number;
  /** Names the kind of failure; stable. */
  type: string;
  detail: string;
  /** Header or field that is at fault. */
  field?: string;
  outcome: Outcome;
  /** The log itself says so, whatever other entry hosts did. */
  consultedLog?: boolean;
  retryAfterMilliseconds?: number;
};
