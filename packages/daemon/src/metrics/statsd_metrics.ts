import type { StatsD } from "hot-shots";

/** What the roles report to a StatsD server. */
export type StatsdMetrics = Pick<StatsD, "increment" | "timing" | "close">;
