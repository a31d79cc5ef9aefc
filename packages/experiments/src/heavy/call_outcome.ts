/**
 * How a call ended for its caller: answered with its first event within the
 * target or after it, refused for good, or given up ("left") by the caller.
 */
export type CallOutcome = "in-time" | "late" | "refused" | "left";
