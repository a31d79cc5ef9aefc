/** One part of a call's answer, as the entry host reads it from an agent. */
export type AnswerPart =
  | { kind: "start"; status: number; contentType: string; version: string }
  | { kind: "data"; bytes: Uint8Array }
  | { kind: "end" }
  | {
    kind: "refused";
    outcome: "not-run" | "ran" | "unknown";
    reason: string;
    retryAfterMilliseconds: number;
    /**
     * Incarnation of the backend server process that ended during the call;
     * empty if none did.
     */
    endedIncarnation: string;
  }
  /** The complete answer can no longer be read. */
  | { kind: "broken"; reason: string };
