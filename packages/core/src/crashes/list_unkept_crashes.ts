import type { ClockReadings } from "./clock_readings.ts";
import type { CrashReport } from "./crash_report.ts";
import type { CrashRow } from "./crash_row.ts";
import type { CrashScene } from "./crash_scene.ts";

/** Most reports of a crash have arrived by then. */
const GATHERING_MILLISECONDS = 100;
/** Older ones say nothing by the time that a host has started again. */
const MAX_AGE_MILLISECONDS = 60_000;

/** Rows of the crashes of which more is known than is stored in `kept`. */
export function listUnkeptCrashes(
  scenes: ReadonlyMap<string, CrashScene>,
  kept: ReadonlyMap<string, CrashRow>,
  { timeOfDay, monotonic }: ClockReadings,
): CrashRow[] {
  return [...scenes]
    .filter(([incarnation, { at, knownAt, youngest }]) =>
      monotonic - knownAt >= GATHERING_MILLISECONDS &&
      monotonic - at <= MAX_AGE_MILLISECONDS &&
      !isKept(kept.get(incarnation), youngest)
    )
    .map(([incarnation, { at, youngest }]) => ({
      incarnation,
      at: timeOfDay - (monotonic - at),
      requests: youngest.map(toRequest),
    }));
}

function isKept(row: CrashRow | undefined, youngest: CrashReport[]): boolean {
  return youngest.every(({ fingerprint }) =>
    row?.requests.some((kept) => kept.fingerprint === fingerprint)
  );
}

function toRequest(report: CrashReport): CrashRow["requests"][number] {
  const { fingerprint, parts = [], begunMilliseconds, isGivenUp } = report;
  return {
    fingerprint,
    parts: [...parts],
    begunMilliseconds: begunMilliseconds ?? null,
    isGivenUp: isGivenUp ?? false,
  };
}
