import type { Blame } from "./blame.ts";
import type { BlamedRequestRow } from "./blamed_request_row.ts";

type Now = { timeOfDay: number; monotonic: number };

/**
 * What is left of a kept blame, in milliseconds of each clock. The time of day
 * may have been set since: no more than the whole term is left.
 */
export function blameOfRow(row: BlamedRequestRow, now: Now): Blame {
  const { at, ...blame } = row;
  const age = Math.max(0, now.timeOfDay - at);
  return { ...blame, endsAt: now.monotonic + row.termMilliseconds - age };
}
