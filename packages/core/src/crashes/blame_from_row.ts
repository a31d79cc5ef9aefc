import type { Blame } from "./blame.ts";
import type { ClockReadings } from "./clock_readings.ts";
import type { BlamedRequestRow } from "./blamed_request_row.ts";

/**
 * Converts a stored blame, which has a wall-clock time, to one that ends on
 * this process's monotonic clock. Both clock readings are in milliseconds. The
 * wall clock may have been set back since the blame was stored, so the blame
 * never ends later than one whole refusal period from now.
 */
export function blameFromRow(row: BlamedRequestRow, now: ClockReadings): Blame {
  const { at, ...blame } = row;
  const age = Math.max(0, now.timeOfDay - at);
  return { ...blame, endsAt: now.monotonic + row.termMilliseconds - age };
}
