/**
 * How one call of the load driver ended: with the expected answer, a refusal,
 * an unexpected answer, or a connection that broke before the answer was
 * complete.
 */
export type CallResult =
  | { kind: "whole"; version: string; milliseconds: number }
  | {
    kind: "refused";
    reason: string;
    outcome: string;
    /** As the answer asks, 0 if it doesn't. */
    retryAfterMilliseconds: number;
    milliseconds: number;
  }
  | { kind: "wrong"; detail: string }
  | { kind: "cut"; detail: string }
  /** No connection could be opened, so nothing was sent. */
  | { kind: "unreached" };
