import type { OutcomeCounts } from "./outcome_counts.ts";

/**
 * Metrics of one run. `worth`, `worstWindow` and `worstKind` are shares of the
 * worth that the calls would have earned if all had been timely; the outcomes
 * are shares of all calls.
 */
export type FleetMetrics = {
  calls: number;
  worth: number;
  inTime: number;
  late: number;
  /** Included in `late`: calls with a timely first event, and a long pause. */
  interrupted: number;
  refused: number;
  /** Calls that their callers gave up. */
  left: number;
  /** Calls that failed in their second try; included in `refused`. */
  refusedAgain: number;
  /** Time to the first event of calls that had one, milliseconds. */
  firstEventP50: number;
  firstEventP99: number;
  /** Lowest share of worth among the windows of call start times. */
  worstWindow: number;
  /** Lowest share of worth among the kinds of calls. */
  worstKind: number;
  /**
   * Shares of calls that got a whole answer, among the tenth with the longest
   * answers and the fifth below it.
   */
  longestTenthServed: number;
  fifthBelowServed: number;
  /** Share of sends that went to another data centre. */
  crossings: number;
  /** Share of slots in use while calls asked for too many and one waited. */
  roomUsed: number;
  byKind: Record<string, OutcomeCounts>;
  byWorkspace: Record<string, OutcomeCounts>;
  /** By the index of the host of the first try and the kind: "0/draft". */
  byKindOfHost: Record<string, OutcomeCounts>;
};
