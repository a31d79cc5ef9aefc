import type { Suspect } from "./suspect.ts";

/**
 * Orders suspects: those whose answers had started the shortest time before the
 * crashes, the likeliest culprits, come first.
 */
export function compareByAnswerStart(left: Suspect, right: Suspect): number {
  return left.evidence.meanMillisecondsFromAnswerStart -
    right.evidence.meanMillisecondsFromAnswerStart;
}
