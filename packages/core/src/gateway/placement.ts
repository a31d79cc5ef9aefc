import type { FirstEventForecast } from "./first_event_forecast.ts";

/** How a request goes to the backend server that was chosen for it. */
export type Placement = {
  /**
   * "timely": it can still be in time. "late": it can't be any more, and takes
   * what those that can be leave over. "refused": even for that there is no
   * room.
   */
  kind: "timely" | "late" | "refused";
  /** Undefined without an engine, and for a stream that has begun. */
  forecast: FirstEventForecast | undefined;
  /** Monotonic milliseconds. */
  placedAt: number;
};
