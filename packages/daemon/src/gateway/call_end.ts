/** How a request ended, for its log line. */
export type CallEnd = {
  status: number;
  /** In a few words, what decided it. */
  reason: string;
  /** Whether a backend server may have worked on it. */
  outcome: "answered" | "not-run" | "unknown" | "client-left";
};
