import type { Survival } from "@teaselrouter/core/crashes/survival.ts";
import type { PartSurvival } from "@teaselrouter/messages/follow.ts";

/**
 * Decodes a survival from another process; `now` is the local monotonic time,
 * from which its age is counted.
 */
export function decodeSurvival(message: PartSurvival, now: number): Survival {
  const { part, begunAgeMilliseconds, livedMilliseconds, isComplete } = message;
  return {
    part,
    begunAt: now - begunAgeMilliseconds,
    livedMilliseconds,
    isComplete,
  };
}
