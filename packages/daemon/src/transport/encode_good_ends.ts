import { create } from "@bufbuild/protobuf";
import type { GoodEndNews } from "@teaselrouter/core/crashes/good_end_news.ts";
import {
  type GoodEnds,
  GoodEndsSchema,
} from "@teaselrouter/messages/follow.ts";
import { encodePartGoodEnd } from "./encode_part_good_end.ts";

/**
 * Encodes what a host tells of good ends; `source` names one run of its process,
 * and `now` is the local monotonic time.
 */
export function encodeGoodEnds(
  source: string,
  { totals, starts, ends }: GoodEndNews,
  now: number,
): GoodEnds {
  return create(GoodEndsSchema, {
    source,
    totals,
    starts,
    ends: ends.map((end) => encodePartGoodEnd(end, now)),
  });
}
