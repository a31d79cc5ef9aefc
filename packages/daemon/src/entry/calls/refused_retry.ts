/** Why a call was not sent once more, for the log. */
export type RefusedRetry = {
  service: string;
  /** `suspected`: backend servers have ended under the call. */
  reason: "suspected" | "no-retry-left";
  retriesLeft: number;
  /** Backend servers that the call was sent to. */
  sends: number;
};
