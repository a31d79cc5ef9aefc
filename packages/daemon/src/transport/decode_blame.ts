import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { BlamedRequest } from "@teaselrouter/messages/follow.ts";

/** Reads a blame that another process wrote; the way it took is left out. */
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
