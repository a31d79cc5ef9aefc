import type { NamedLimit } from "@teaselrouter/core/named_limits/named_limit.ts";

/** On the wire: the backend server no longer names a limit. */
const NO_LIMIT = -1;

/**
 * Encodes a named limit for another process. The time at which it was named is
 * sent as an age, as monotonic clocks of different processes can't be compared.
 */
export function encodeLimit(
  { incarnation, perSecond, announcedAt }: NamedLimit,
  now: number,
) {
  return {
    incarnation,
    perSecond: perSecond ?? NO_LIMIT,
    saidAgeMilliseconds: now - announcedAt,
  };
}
