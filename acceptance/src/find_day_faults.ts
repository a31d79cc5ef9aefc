import type { DayFigures } from "./day_figures.ts";

/** Repeats of a request that is known to end what runs it. */
const MOST_LATE_ARRIVALS = 3;
/** One in so many may be refused for what another did. */
const WRONG_BLAME_SHARE = 1 / 200;
const LEAST_SERVED_SHARE = 0.5;

/** What a day broke of what has to hold, in words. */
export function findDayFaults(figures: DayFigures, spoilt: number): string[] {
  const { served, refused, broken, wronglyBlamed, lateArrivals } = figures;
  const all = served + refused + broken;
  const faults: string[] = [];
  for (const late of lateArrivals) {
    if (late > MOST_LATE_ARRIVALS) {
      faults.push(`a request at fault arrived ${late} times late`);
    }
  }
  if (figures.mostLimited > figures.allowedLimited) {
    faults.push(`${figures.mostLimited} of ${figures.allowedLimited} in 4 s`);
  }
  if (wronglyBlamed > all * WRONG_BLAME_SHARE) {
    faults.push(`${wronglyBlamed} of ${all} were blamed wrongly`);
  }
  if (spoilt > 0) faults.push(`${spoilt} answers were not whole`);
  if (served < all * LEAST_SERVED_SHARE) {
    faults.push(`only ${served} of ${all} were served`);
  }
  return faults;
}
