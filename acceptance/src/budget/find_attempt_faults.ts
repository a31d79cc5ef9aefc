import type { BudgetRecord } from "./budget_record.ts";
import { groupBy } from "./group_by.ts";

const MAX_WIDE_REQUESTS = 3;

/**
 * Lists it as a fault if too many requests ran on more backend servers than one
 * attempt of a client may be sent to. Servers that ended don't count.
 */
export function findAttemptFaults(
  { runs, endedInstances, maxAttempts }: BudgetRecord,
): string[] {
  const counted = runs.filter(({ instance }) => !endedInstances.has(instance));
  const wide = [...groupBy(counted, ({ id }) => id).values()]
    .filter((each) =>
      new Set(each.map(({ instance }) => instance)).size > maxAttempts
    );
  return wide.length > MAX_WIDE_REQUESTS
    ? [`${wide.length} requests ran on over ${maxAttempts} servers`]
    : [];
}
