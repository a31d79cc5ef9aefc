import type { GoodEnd } from "@teaselrouter/core/crashes/good_end.ts";
import type { PartGoodEnd } from "@teaselrouter/messages/follow.ts";

/** Hosts watch no more parts, and tell of the latest good end of each. */
const MAX_GOOD_ENDS = 512;

/**
 * Decodes good ends from another process; `now` is the local monotonic time, from
 * which their ages are counted. None lies in the future: it would clear a part of
 * crashes to come.
 */
export function decodePartGoodEnds(
  messages: readonly PartGoodEnd[],
  now: number,
): GoodEnd[] {
  return messages.slice(0, MAX_GOOD_ENDS).flatMap((message) => {
    const { part, sentAgeMilliseconds, endedAgeMilliseconds } = message;
    const sentAt = now - Math.max(0, sentAgeMilliseconds);
    const endedAt = now - Math.max(0, endedAgeMilliseconds);
    const isKnown = Number.isFinite(sentAt) && Number.isFinite(endedAt);
    return isKnown ? [{ part, sentAt, endedAt }] : [];
  });
}
