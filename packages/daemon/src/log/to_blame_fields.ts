import type { Blame } from "@teaselrouter/core/crashes/blame.ts";

/** Log fields that describe a blame; `now` is in monotonic milliseconds. */
export function toBlameFields(blame: Blame, now: number) {
  const { fingerprint, crashes, incarnations, endsAt } = blame;
  return {
    fingerprint,
    crashes,
    incarnations: incarnations.join(","),
    left_milliseconds: Math.round(endsAt - now),
  };
}
