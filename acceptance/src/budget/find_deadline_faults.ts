import type { BudgetRecord } from "./budget_record.ts";
import { countLongDeadlines } from "./count_long_deadlines.ts";

/** Requests of a day that may be told too much time, and their share. */
const MAX_LONG_DEADLINES = 20;
const MAX_LONG_DEADLINE_SHARE = 1 / 5;

/**
 * Lists it as a fault if backend servers were told more time than is left too
 * often. Streams aren't counted, nor gateways that were disrupted shortly
 * before.
 */
export function findDeadlineFaults(record: BudgetRecord): string[] {
  const { long, judged } = countLongDeadlines(record);
  return long > MAX_LONG_DEADLINES && long > judged * MAX_LONG_DEADLINE_SHARE
    ? [`${long} of ${judged} were told more time than is left`]
    : [];
}
