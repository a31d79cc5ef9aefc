import type { BudgetArrival, BudgetRecord } from "./budget_record.ts";
import { MomentCounter } from "./moment_counter.ts";

const MILLISECONDS_PER_SECOND = 1_000;
/** A window includes the moment with which it ends. */
const INSTANT_MILLISECONDS = 1e-6;

/** The fullest window of one service, relative to what is allowed in it. */
export type RepeatWindow = {
  service: string;
  from: number;
  repeats: number;
  allowed: number;
};

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
