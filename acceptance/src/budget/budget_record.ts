import type { PlatformBounds } from "../loopback_cluster.ts";

/** A request as its client sent it. */
export type BudgetRequest = {
  id: string;
  kind: "stream" | "safe" | "unsafe";
  service: string;
  gateway: string;
  sentAt: number;
  deadlineMilliseconds: number;
};

/** A request that a backend server read, whatever came of it. */
export type BudgetArrival = {
  id: string;
  service: string;
  instance: string;
  at: number;
  deadlineMilliseconds: number | undefined;
};

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
