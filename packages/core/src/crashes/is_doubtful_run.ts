import type { ObservedCrash } from "./observed_crash.ts";

/** A request that ends what runs it mostly does so as its answer begins. */
const PROMPT_CRASH_MILLISECONDS = 300;

/**
 * Whether the suspect may have been stopped before the crash: it had been given
 * up, and had begun long before.
 */
export function isDoubtfulRun(
  { isGivenUp, begunMilliseconds = Infinity }: ObservedCrash,
): boolean {
  return isGivenUp && begunMilliseconds > PROMPT_CRASH_MILLISECONDS;
}
