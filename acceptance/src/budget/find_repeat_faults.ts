import type { BudgetRecord } from "./budget_record.ts";
import { findFullestWindows } from "./find_fullest_windows.ts";

/**
 * Lists the services that got more repeats in some window than their budget
 * allows: the ratio of the requests for that service alone, counted in that
 * window, the one before it or the one half a window earlier, plus the slack.
 */
export function findRepeatFaults(record: BudgetRecord): string[] {
  return findFullestWindows(record)
    .filter(({ repeats, allowed }) => repeats > allowed)
    .map(({ service, repeats, allowed, from }) =>
      `${service} got ${repeats} repeats in a window, ${
        allowed.toFixed(1)
      } allowed, from ${Math.round(from)}`
    );
}
