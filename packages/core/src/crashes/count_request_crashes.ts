import { isDoubtfulRun } from "./is_doubtful_run.ts";
import type { ObservedCrash } from "./observed_crash.ts";

/**
 * Weight of a crash before the request's answer started. A request that was
 * still queued is unlikely to have caused the crash, but the start of its
 * answer can be lost with the connection, so the crash still counts.
 */
const UNSTARTED_ANSWER_WEIGHT = 0.5;
/** Weight of a crash before which the request may have been stopped. */
const DOUBTFUL_RUN_WEIGHT = 0.25;

/** Weight of the crashes at which one request was in flight. */
export function countRequestCrashes(crashes: ObservedCrash[]): number {
  return crashes.reduce((sum, crash) => sum + weighRequestCrash(crash), 0);
}

function weighRequestCrash(crash: ObservedCrash): number {
  if (isDoubtfulRun(crash)) return DOUBTFUL_RUN_WEIGHT;
  return crash.begunMilliseconds === undefined ? UNSTARTED_ANSWER_WEIGHT : 1;
}
