import type { EndingTerms } from "../endings/ending_terms.ts";

/** How the servers of a day take their time, and how long they are away. */
export type SlowEngineTerms = EndingTerms & {
  /** Milliseconds from a request until the first byte of its answer. */
  drawFirstByte: () => number;
  /** Whether the answer to a harmful request begins before its engine ends. */
  drawHead: () => boolean;
  /** Milliseconds from such a beginning, or its moment, to the end. */
  drawCrashDelay: () => number;
  /** Of all routes, and the time that clients wait. */
  routeTimeoutMilliseconds: number;
  /** From one event of a stream to the next. */
  eventIntervalMilliseconds: number;
  /** Of the usual rate of streams. */
  streamShare: number;
  /** Of the usual rate of requests without a stream. */
  plainShare: number;
};
