import type { BackendCandidate } from "./backend_candidate.ts";

/** Whether another backend server takes over a request, or why none does. */
export type TakeoverDecision =
  /** The retry is spent, and `target` counts the request already. */
  | { kind: "take-over"; target: BackendCandidate }
  | {
    kind: "keep";
    reason:
      | "not-retryable"
      | "no-attempt-left"
      | "no-time-left"
      | "no-retry-left"
      /** All others are silent or ejected as well. */
      | "no-server-heard"
      /** The others are full, or at their limits. */
      | "no-place";
  };
