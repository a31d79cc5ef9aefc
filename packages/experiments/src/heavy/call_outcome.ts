/**
 * How a call ended for its caller: answered with its first event within the
 * target time or after it; failed in its last try ("refused"), because a host
 * refused it, an engine rejected it or an engine had an outage; or given up
 * ("left") by the caller.
 */
export type CallOutcome = "in-time" | "late" | "refused" | "left";
