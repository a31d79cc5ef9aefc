import type { ServerEnding } from "./server_ending.ts";

/** How the backend servers of a day end, and what they tell of themselves. */
export type EndingTerms = {
  /** Called at each end; by default all ends are alike. */
  drawEnding?: () => ServerEnding;
  /** Time from one heartbeat of a backend server to its next. */
  heartbeatMilliseconds?: number;
};
