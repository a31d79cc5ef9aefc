import type { ClockReadings } from "./clock_readings.ts";
import type { CrashReport } from "./crash_report.ts";
import type { CrashRow } from "./crash_row.ts";

/**
 * The reports that a stored crash stands for. Its wall-clock time becomes one of
 * this process's monotonic clock; the wall clock may have been set back since.
 */
export function reportsFromRow(
  { incarnation, at, requests }: CrashRow,
  now: ClockReadings,
): CrashReport[] {
  const age = Math.max(0, now.timeOfDay - at);
  return requests.map(({ begunMilliseconds, ...request }) => ({
    ...request,
    incarnation,
    begunMilliseconds: begunMilliseconds ?? undefined,
    crashedAt: now.monotonic - age,
  }));
}
