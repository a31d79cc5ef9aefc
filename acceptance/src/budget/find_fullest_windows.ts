import type { BudgetArrival } from "./budget_arrival.ts";
import type { BudgetRecord } from "./budget_record.ts";
import { MomentCounter } from "./moment_counter.ts";
import type { RepeatWindow } from "./repeat_window.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** A window includes the moment with which it ends. */
const INSTANT_MILLISECONDS = 1e-6;

/** Returns the fullest window of each service that got a repeat. */
export function findFullestWindows(record: BudgetRecord): RepeatWindow[] {
  const { requests, arrivals, bounds } = record;
  const ids = new Set(requests.map(({ id }) => id));
  const known = arrivals.filter(({ id }) => ids.has(id));
  const services = [...new Set(known.map(({ service }) => service))];
  return services.flatMap((service) => {
    const sent = requests.filter((request) => request.service === service);
    const window = findFullest(
      listRepeats(known.filter((arrival) => arrival.service === service)),
      new MomentCounter(sent.map(({ sentAt }) => sentAt)),
      bounds,
    );
    return window === undefined ? [] : [{ service, ...window }];
  });
}

/** When requests arrived that had arrived before, in any order. */
function listRepeats(arrivals: readonly BudgetArrival[]): number[] {
  const seen = new Set<string>();
  return arrivals.toSorted((left, right) => left.at - right.at)
    .flatMap(({ id, at }) => {
      if (seen.has(id)) return [at];
      seen.add(id);
      return [];
    });
}

function findFullest(
  repeats: readonly number[],
  sent: MomentCounter,
  bounds: BudgetRecord["bounds"],
): Omit<RepeatWindow, "service"> | undefined {
  const { retryBudgetRatio, retryBudgetSlack, budgetWindowS } = bounds;
  const window = budgetWindowS * MILLISECONDS_PER_SECOND;
  const counter = new MomentCounter(repeats);
  const starts = repeats.flatMap((at) => [
    at,
    at - window + INSTANT_MILLISECONDS,
  ]);
  return starts.map((from) => {
    const requests = Math.max(
      ...[0, window / 2, window].map((earlier) =>
        sent.count(from - earlier, from - earlier + window)
      ),
    );
    return {
      from,
      repeats: counter.count(from, from + window),
      allowed: retryBudgetRatio * requests + retryBudgetSlack,
    };
  }).reduce<Omit<RepeatWindow, "service"> | undefined>(
    (worst, each) =>
      worst === undefined ||
        each.repeats - each.allowed > worst.repeats - worst.allowed
        ? each
        : worst,
    undefined,
  );
}
