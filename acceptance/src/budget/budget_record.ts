import type { PlatformBounds } from "../platform_bounds.ts";
import type { BudgetArrival } from "./budget_arrival.ts";
import type { BudgetRequest } from "./budget_request.ts";

/**
 * What clients and backend servers saw of a day's repeats. Times are from
 * `performance.now()`, milliseconds.
 */
export type BudgetRecord = {
  bounds: PlatformBounds;
  requests: readonly BudgetRequest[];
  arrivals: readonly BudgetArrival[];
  runs: readonly { id: string; instance: string }[];
  /** Backend servers that ended under work. */
  endedInstances: ReadonlySet<string>;
  /** Backend servers that one attempt of a client may be sent to. */
  maxAttempts: number;
  /** Spans in which a gateway was killed, stopped or stood still. */
  disruptions: readonly { gateway: string; from: number; to: number }[];
};
