import type { PartWatch } from "@teaselrouter/core/crashes/part_watch.ts";
import type { PartWatch as PartWatchMessage } from "@teaselrouter/messages/follow.ts";

/**
 * Decodes a watch from another process; `now` is the local monotonic time, from
 * which ages are counted.
 */
export function decodePartWatch(
  { part, sinceAgeMilliseconds }: PartWatchMessage,
  now: number,
): PartWatch {
  const isKnown = Number.isFinite(sinceAgeMilliseconds);
  return { part, since: isKnown ? now - sinceAgeMilliseconds : now };
}
