/** How a request ended, for its log line. */
export type CallEnd = {
  status: number;
  /** Short description of what ended the request, for the log. */
  reason: string;
  /** Whether a backend server may have run the request. */
  outcome: "answered" | "not-run" | "unknown" | "client-left";
};
