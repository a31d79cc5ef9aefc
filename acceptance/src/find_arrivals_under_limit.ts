import type { LimitPeriod } from "./limit_period.ts";

/**
 * Time from a request's arrival, whose response announces the limit, until the
 * request's gateway must keep the limit.
 */
const LEARNING_MILLISECONDS = 500;
/** Time from a limit's start until the first gateway has to keep the limit. */
const SETTLE_MILLISECONDS = 3_000;

type Observations = {
  period: LimitPeriod;
  arrivals: { at: number; gateway: string }[];
  /** When gateways restarted. */
  restarts: { at: number; gateway: string }[];
};

/**
 * Lists when requests arrived from gateways that had to keep the limit. A
 * gateway learns of the limit from a response to one of its requests, and after
 * a restart has to learn of it again.
 */
export function findArrivalsUnderLimit(
  { period, arrivals, restarts }: Observations,
): number[] {
  const { from, to } = period;
  const knownFrom = new Map<string, number>();
  const found: number[] = [];
  for (const { at, gateway } of arrivals) {
    if (at < from || at > to) continue;
    const startedAt = restarts
      .filter((restart) => restart.gateway === gateway && restart.at <= at)
      .reduce((latest, restart) => Math.max(latest, restart.at), -Infinity);
    const known = knownFrom.get(gateway) ?? -Infinity;
    if (known <= startedAt) knownFrom.set(gateway, at + LEARNING_MILLISECONDS);
    else if (at >= known && at >= from + SETTLE_MILLISECONDS) found.push(at);
  }
  return found;
}
