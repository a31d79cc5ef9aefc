import type { Limited } from "./limited.ts";

/** From an answer that names a limit until its gateway is bound by it. */
const BOUND_MILLISECONDS = 500;
/** From the first naming until any gateway is. */
const TOLD_MILLISECONDS = 3_000;

type Happened = {
  limited: Limited;
  arrivals: { at: number; gateway: string }[];
  /** Moments at which gateways started anew. */
  restarts: { at: number; gateway: string }[];
};

/**
 * When requests came by gateways that an answer had told of the limit: one
 * that has started anew knows nothing until the next.
 */
export function findBoundArrivals(
  { limited, arrivals, restarts }: Happened,
): number[] {
  const { from, to } = limited;
  const boundAt = new Map<string, number>();
  const bound: number[] = [];
  for (const { at, gateway } of arrivals) {
    if (at < from || at > to) continue;
    const startedAt = restarts
      .filter((restart) => restart.gateway === gateway && restart.at <= at)
      .reduce((latest, restart) => Math.max(latest, restart.at), -Infinity);
    const since = boundAt.get(gateway) ?? -Infinity;
    if (since <= startedAt) boundAt.set(gateway, at + BOUND_MILLISECONDS);
    else if (at >= since && at >= from + TOLD_MILLISECONDS) bound.push(at);
  }
  return bound;
}
