import type { NamedLimit } from "@teaselrouter/core/named_limits/named_limit.ts";

/** Stands for a limit that is named no more. */
const NONE = -1;

/** Writes a named limit for the way between processes, whose clocks differ. */
export function encodeLimit(
  { incarnation, perSecond, saidAt }: NamedLimit,
  now: number,
) {
  return {
    incarnation,
    perSecond: perSecond ?? NONE,
    saidAgeMilliseconds: now - saidAt,
  };
}
