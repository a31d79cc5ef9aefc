import type { PartDayResult } from "./part_day_result.ts";

/** Allowed late arrivals of requests with a crashing part. */
const MAX_LATE_ARRIVALS = 3;
const MIN_SERVED_SHARE = 0.9;
/** Fewer harmless requests are too small a sample. */
const MIN_HARMLESS = 20;
/** Allowed share of harmless requests that are refused for crashes. */
const MAX_WRONG_BLAME_SHARE = 1 / 200;

/**
 * Lists the requirements that a day violated, as text.
 *
 * @param sent harmless requests of the day.
 */
export function findPartDayFaults(
  { lateArrivals, harmless, wronglyBlamed }: PartDayResult,
  sent: number,
): string[] {
  const faults = lateArrivals
    .filter((late) => late > MAX_LATE_ARRIVALS)
    .map((late) => `${late} requests with a crashing part arrived late`);
  const isEnough = harmless.sent >= MIN_HARMLESS;
  if (isEnough && harmless.served < harmless.sent * MIN_SERVED_SHARE) {
    faults.push(
      `only ${harmless.served} of ${harmless.sent} harmless ones served`,
    );
  }
  if (wronglyBlamed > sent * MAX_WRONG_BLAME_SHARE) {
    faults.push(`${wronglyBlamed} of ${sent} harmless ones were blamed`);
  }
  return faults;
}
