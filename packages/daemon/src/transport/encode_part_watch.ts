import { create } from "@bufbuild/protobuf";
import type { PartWatch } from "@teaselrouter/core/crashes/part_watch.ts";
import {
  type PartWatch as PartWatchMessage,
  PartWatchSchema,
} from "@teaselrouter/messages/follow.ts";

/** Encodes a watch for another process; `now` is the local monotonic time. */
export function encodePartWatch(
  { part, since }: PartWatch,
  now: number,
): PartWatchMessage {
  return create(PartWatchSchema, {
    part,
    sinceAgeMilliseconds: Math.max(0, now - since),
  });
}
