import type { BudgetArrival } from "./budget_arrival.ts";
import type { BudgetRecord } from "./budget_record.ts";
import type { BudgetRequest } from "./budget_request.ts";
import { groupBy } from "./group_by.ts";

/** By how much a backend server may be told more time than is left. */
const TOLERANCE_MILLISECONDS = 500;

/** Counts what was told too much time, and what might have been. */
export function countLongDeadlines(
  record: BudgetRecord,
): { long: number; judged: number } {
  const byId = groupBy(record.arrivals, ({ id }) => id);
  const counts = { long: 0, judged: 0 };
  for (const request of record.requests) {
    if (request.kind === "stream") continue;
    const arrivals = byId.get(request.id) ?? [];
    const [first, ...again] = arrivals
      .toSorted((left, right) => left.at - right.at)
      .filter(({ at }) => isInTouch(record, request.gateway, at));
    if (first === undefined) continue;
    const late = again.filter(({ at }) =>
      at > first.at + TOLERANCE_MILLISECONDS
    );
    const longFirst = [first, ...again]
      .filter((arrival) => isLongerThanTold(arrival, request));
    const longLater = late.filter((arrival) =>
      !longFirst.includes(arrival) && endsTooLate(arrival, first, request)
    );
    counts.long += longFirst.length + longLater.length;
    counts.judged += late.length +
      longFirst.filter((arrival) => !late.includes(arrival)).length;
  }
  return counts;
}

function isLongerThanTold(
  { deadlineMilliseconds }: BudgetArrival,
  request: BudgetRequest,
): boolean {
  return deadlineMilliseconds === undefined ||
    deadlineMilliseconds >
      request.deadlineMilliseconds + TOLERANCE_MILLISECONDS;
}

function endsTooLate(
  again: BudgetArrival,
  first: BudgetArrival,
  { sentAt, deadlineMilliseconds }: BudgetRequest,
): boolean {
  const latest = Math.max(endOf(first), sentAt + deadlineMilliseconds);
  return endOf(again) > latest + TOLERANCE_MILLISECONDS;
}

function endOf({ at, deadlineMilliseconds }: BudgetArrival): number {
  return at + (deadlineMilliseconds ?? Infinity);
}

function isInTouch(
  { disruptions, bounds }: BudgetRecord,
  gateway: string,
  at: number,
): boolean {
  return !disruptions.some((disruption) =>
    disruption.gateway === gateway && disruption.from <= at &&
    at <= disruption.to + bounds.contactMs
  );
}
