/** A piece of a call's answer, as the entry host reads it from an agent. */
export type AnswerPart =
  | { kind: "start"; status: number; contentType: string; version: string }
  | { kind: "data"; bytes: Uint8Array }
  | { kind: "end" }
  | {
    kind: "refused";
    outcome: "not-run" | "ran" | "unknown";
    reason: string;
    retryAfterMilliseconds: number;
    /** The start of the backend server that ended; empty if none did. */
    endedIncarnation: string;
  }
  /** The answer can't be had whole any more. */
  | { kind: "broken"; reason: string };
