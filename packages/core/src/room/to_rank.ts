import { RANKS } from "./ranks.ts";

/**
 * Late requests of urgencies 0 to 4 get ranks 5 to 9: they are served after all
 * timely requests of these urgencies, the more urgent first.
 */
const LATE_RANK_OFFSET = 5;

/** Rank of a request in a backend server's queue. */
export function toRank(urgency: number, isLate: boolean): number {
  const rank = Math.max(0, Math.round(urgency)) +
    (isLate ? LATE_RANK_OFFSET : 0);
  return Math.min(RANKS - 1, rank);
}
