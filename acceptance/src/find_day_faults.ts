import type { DayResult } from "./day_result.ts";

/** Allowed late arrivals of each crashing request. */
const MAX_LATE_ARRIVALS = 3;
/** Share of requests that may be refused for crashes that others caused. */
const MAX_WRONG_BLAME_SHARE = 1 / 200;
const MIN_SERVED_SHARE = 0.5;

/**
 * Lists the requirements that a day violated, as text.
 *
 * @param incomplete number of responses with status 200 that were incomplete.
 */
export function findDayFaults(result: DayResult, incomplete: number): string[] {
  const { served, refused, broken, wronglyBlamed, lateArrivals } = result;
  const total = served + refused + broken;
  const faults: string[] = [];
  for (const late of lateArrivals) {
    if (late > MAX_LATE_ARRIVALS) {
      faults.push(
        `a crashing request arrived ${late} times after it had to be known`,
      );
    }
  }
  if (result.maxLimitedArrivals > result.allowedLimitedArrivals) {
    faults.push(
      `${result.maxLimitedArrivals} arrivals in 4 s, the limit allows ${result.allowedLimitedArrivals}`,
    );
  }
  if (wronglyBlamed > total * MAX_WRONG_BLAME_SHARE) {
    faults.push(`${wronglyBlamed} of ${total} were wrongly blamed for crashes`);
  }
  if (incomplete > 0) faults.push(`${incomplete} responses were incomplete`);
  if (served < total * MIN_SERVED_SHARE) {
    faults.push(`only ${served} of ${total} were served`);
  }
  return faults;
}
