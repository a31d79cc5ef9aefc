import type { ObservedCrash } from "./observed_crash.ts";

/** How long a crash takes varies with the load. */
const LONGEST_MARGIN = 1.5;
/** Times to a crash that are told apart by no less. */
const MIN_MILLISECONDS = 100;

/**
 * Whether a suspect's request had been sent as shortly before a crash as before
 * other crashes: who only stands beside had mostly been sent long before.
 */
export function isSimilarCrash(
  crash: ObservedCrash,
  others: ObservedCrash[],
): boolean {
  const longest = Math.max(
    MIN_MILLISECONDS,
    ...others.map(findYoungest).filter((age) => age < Infinity),
  );
  return findYoungest(crash) <= longest * LONGEST_MARGIN;
}

function findYoungest({ sentMilliseconds }: ObservedCrash): number {
  return Math.min(Infinity, ...sentMilliseconds);
}
