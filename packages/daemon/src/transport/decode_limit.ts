import type { NamedLimit } from "@teaselrouter/core/named_limits/named_limit.ts";

type EncodedLimit = {
  incarnation: string;
  perSecond: number;
  saidAgeMilliseconds: number;
};

/**
 * Decodes a named limit from another process. Its age is counted back from
 * `now`, the local monotonic time, and so ignores the time in transit.
 */
export function decodeLimit(encoded: EncodedLimit, now: number): NamedLimit {
  const { incarnation, perSecond, saidAgeMilliseconds } = encoded;
  return {
    incarnation,
    perSecond: perSecond < 0 ? undefined : perSecond,
    announcedAt: now - saidAgeMilliseconds,
  };
}
