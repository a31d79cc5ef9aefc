import type { BudgetRecord } from "./budget_record.ts";
import { findAttemptFaults } from "./find_attempt_faults.ts";
import { findDeadlineFaults } from "./find_deadline_faults.ts";
import { findRepeatFaults } from "./find_repeat_faults.ts";

/** Lists, as text, where a day's repeats went beyond what is allowed. */
export function findBudgetFaults(record: BudgetRecord): string[] {
  return [
    ...findAttemptFaults(record),
    ...findDeadlineFaults(record),
    ...findRepeatFaults(record),
  ];
}
