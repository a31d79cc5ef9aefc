/** How a request ended, for its log line. */
export type CallEnd = {
  status: number;
  /**
   * For an answered request, the instance that answered; otherwise what ended
   * the request. Logged as `reason` of `request-ended`.
   */
  reason: string;
  /**
   * Whether a backend server may have run the request. "answered" includes
   * answers with an error status.
   */
  outcome: "answered" | "not-run" | "unknown" | "client-left";
};
