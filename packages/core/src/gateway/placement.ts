import type { FirstEventForecast } from "./first_event_forecast.ts";

/** Whether and how a request is sent to the backend server chosen for it. */
export type Placement = {
  /**
   * "timely": the request can still meet its target time. "late": it can't any
   * more, and uses only capacity that timely requests leave unused. "refused":
   * no such capacity is left.
   */
  kind: "timely" | "late" | "refused";
  /** Undefined without an engine, and for a stream that has already begun. */
  forecast: FirstEventForecast | undefined;
  /** Time of this decision, monotonic milliseconds. */
  decidedAt: number;
  /**
   * Rank in the backend server's queue, 0 (first) to 9; undefined for the usual
   * one.
   */
  rank?: number;
};
