import { create } from "@bufbuild/protobuf";
import type { GoodEnd } from "@teaselrouter/core/crashes/good_end.ts";
import {
  type PartGoodEnd,
  PartGoodEndSchema,
} from "@teaselrouter/messages/follow.ts";

/** Encodes a good end for another process; `now` is the local monotonic time. */
export function encodePartGoodEnd(
  { part, sentAt, endedAt }: GoodEnd,
  now: number,
): PartGoodEnd {
  return create(PartGoodEndSchema, {
    part,
    sentAgeMilliseconds: Math.max(0, now - sentAt),
    endedAgeMilliseconds: Math.max(0, now - endedAt),
  });
}
