import type { ObservedCrash } from "./observed_crash.ts";

/**
 * Weight of a crash before the request's answer started. A request that was
 * still queued is unlikely to have caused the crash, but the start of its
 * answer can be lost with the connection, so the crash still counts.
 */
const UNSTARTED_ANSWER_WEIGHT = 0.5;

/** Weight of the crashes at which one request was in flight. */
export function countRequestCrashes(crashes: ObservedCrash[]): number {
  return crashes.reduce(
    (sum, { begunMilliseconds }) =>
      sum + (begunMilliseconds === undefined ? UNSTARTED_ANSWER_WEIGHT : 1),
    0,
  );
}
