import type { LimitPeriod } from "./limit_period.ts";

/** Time from a response with a limit until its gateway must keep the limit. */
const DELAY_MILLISECONDS = 500;
/** Time from a limit's start until any gateway has to keep it. */
const SPREAD_MILLISECONDS = 3_000;

type Observations = {
  period: LimitPeriod;
  arrivals: { at: number; gateway: string }[];
  /** When gateways restarted. */
  restarts: { at: number; gateway: string }[];
};

/**
 * Lists when requests arrived from gateways that had to keep the limit. A
 * gateway learns of it from a response to one of its requests, and after a
 * restart has to learn of it again.
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
    if (known <= startedAt) knownFrom.set(gateway, at + DELAY_MILLISECONDS);
    else if (at >= known && at >= from + SPREAD_MILLISECONDS) found.push(at);
  }
  return found;
}
