import type { GoodEnd } from "./good_end.ts";
import type { GoodEndTotals } from "./good_end_totals.ts";

/** What a host that sees answers tells of their good ends. */
export type GoodEndNews = {
  /** Of all answers since the host started. */
  totals: GoodEndTotals;
  /** Parts that it watches from now on, with the totals as the watch began. */
  starts: { part: string; totals: GoodEndTotals }[];
  /** Of the watched parts, the latest ones that weren't told before. */
  ends: GoodEnd[];
};
