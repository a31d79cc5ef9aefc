import type { ObservedCrash } from "./observed_crash.ts";
import type { SurvivalThresholds } from "./survival_thresholds.ts";

/** Stands at accidental crashes say nothing about how long crashes take. */
const MAX_CRASH_MILLISECONDS = 1_000;
const MIN_RUNNING_MILLISECONDS = 100;
/** How long a crash takes varies with the load. */
const RUNNING_MARGIN = 3;

/**
 * Derives from the crashes at which a part was in flight how long an answer has
 * to live to show that the part doesn't crash what runs it.
 */
export function findSurvivalThresholds(
  crashes: ObservedCrash[],
): SurvivalThresholds {
  const times = crashes
    .flatMap(({ begunMilliseconds }) => begunMilliseconds ?? [])
    .map((time) => Math.min(time, MAX_CRASH_MILLISECONDS))
    .sort((left, right) => left - right);
  const longest = times.at(-1) ?? 0;
  return {
    complete: times[Math.floor(times.length / 2)] ?? 0,
    running: Math.max(MIN_RUNNING_MILLISECONDS, longest * RUNNING_MARGIN),
  };
}
