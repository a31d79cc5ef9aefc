import type { PartWatch } from "@teaselrouter/core/crashes/part_watch.ts";
import type { PartWatch as PartWatchMessage } from "@teaselrouter/messages/follow.ts";

/**
 * Decodes a watch from another process; `now` is the local monotonic time, from
 * which ages are counted.
 */
export function decodePartWatch(
  message: PartWatchMessage,
  now: number,
): PartWatch {
  return {
    part: message.part,
    since: now - message.sinceAgeMilliseconds,
    thresholds: {
      complete: message.completeMilliseconds,
      running: message.runningMilliseconds,
    },
  };
}
