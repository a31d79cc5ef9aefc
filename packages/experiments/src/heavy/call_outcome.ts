/** How a call ended for its caller. */
export type CallEnd = "in-time" | "late" | "refused" | "left";
