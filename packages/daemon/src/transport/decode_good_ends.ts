import type { GoodEndNews } from "@teaselrouter/core/crashes/good_end_news.ts";
import type { GoodEndTotals } from "@teaselrouter/core/crashes/good_end_totals.ts";
import type {
  GoodEnds,
  GoodEndTotals as GoodEndTotalsMessage,
} from "@teaselrouter/messages/follow.ts";
import { decodePartGoodEnds } from "./decode_part_good_ends.ts";

/** Hosts watch no more parts. */
const MAX_STARTS = 512;
const NONE: GoodEndTotals = { count: 0, runMilliseconds: 0 };

/**
 * Decodes what another process tells of good ends; `now` is the local monotonic
 * time. What can't be right speaks against no part: totals count as none, and a
 * watch that begins with such is left out.
 */
export function decodeGoodEnds(message: GoodEnds, now: number): GoodEndNews {
  const starts = message.starts.slice(0, MAX_STARTS)
    .flatMap(({ part, totals: encoded }) => {
      const totals = decodeTotals(encoded);
      return totals === undefined ? [] : [{ part, totals }];
    });
  return {
    totals: decodeTotals(message.totals) ?? NONE,
    starts,
    ends: decodePartGoodEnds(message.ends, now),
  };
}

function decodeTotals(
  message: GoodEndTotalsMessage | undefined,
): GoodEndTotals | undefined {
  const { count = NaN, runMilliseconds = NaN } = message ?? {};
  const isPossible = [count, runMilliseconds]
    .every((value) => Number.isFinite(value) && value >= 0);
  return isPossible ? { count, runMilliseconds } : undefined;
}
