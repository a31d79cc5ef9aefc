/**
 * The engine that a call is sent to and its rank in the engine's queue, or the
 * delay after which its caller may retry.
 */
export type DispatchDecision =
  | { kind: "send"; engine: number; rank: number }
  | { kind: "refuse"; retryAfterMilliseconds: number };
