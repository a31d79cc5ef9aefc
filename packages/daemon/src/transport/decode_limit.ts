import type { NamedLimit } from "@teaselrouter/core/named_limits/named_limit.ts";

type Encoded = {
  incarnation: string;
  perSecond: number;
  saidAgeMilliseconds: number;
};

/** Reads a named limit that another process wrote; the way is left out. */
export function decodeLimit(encoded: Encoded, now: number): NamedLimit {
  const { incarnation, perSecond, saidAgeMilliseconds } = encoded;
  return {
    incarnation,
    perSecond: perSecond < 0 ? undefined : perSecond,
    saidAt: now - saidAgeMilliseconds,
  };
}
