import type { StatsdMetrics } from "./statsd_metrics.ts";

/** For a process without a StatsD server: reports nothing. */
export const unreportedMetrics: StatsdMetrics = {
  increment: () => undefined,
  timing: () => undefined,
  close: (onClosed) => onClosed?.(),
};
