import type { Blame } from "@teaselrouter/core/crashes/blame.ts";

/** What a log line says of a blame; `now` is monotonic. */
export function blameFields(blame: Blame, now: number) {
  const { fingerprint, crashes, incarnations, endsAt } = blame;
  return {
    fingerprint,
    crashes,
    incarnations: incarnations.join(","),
    left_milliseconds: Math.round(endsAt - now),
  };
}
