import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { BlamedRequest } from "@teaselrouter/messages/follow.ts";

/**
 * Decodes a blame from another process. The remaining term is counted from
 * `now`, the local monotonic time, and so ignores the time in transit.
 */
export function decodeBlame(blamed: BlamedRequest, now: number): Blame {
  const { fingerprint, crashes, incarnations, termMilliseconds } = blamed;
  return {
    fingerprint,
    crashes,
    incarnations: [...incarnations],
    termMilliseconds,
    endsAt: now + blamed.leftMilliseconds,
  };
}
