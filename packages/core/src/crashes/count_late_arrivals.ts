import type { CrashTrafficResult } from "./crash_traffic_result.ts";

/**
 * From the fifth crash until no harmful request may arrive any more, and from a
 * gateway's start until this holds for it.
 */
const PROPAGATION_MILLISECONDS = 3_000;

/**
 * Harmful requests that arrived too late, of the kind with most of these.
 * `crashes` are those that count, by kind; by default all.
 */
export function countLateArrivals(
  { crashes: all, arrivals, restarts }: CrashTrafficResult,
  crashes = all,
): number {
  const late = crashes.map((unsorted, kind) => {
    const times = unsorted.toSorted((left, right) => left - right);
    const decisiveAt = times[4] ?? times.at(-1) ?? Infinity;
    return arrivals[kind]!.filter((at) =>
      at > decisiveAt + PROPAGATION_MILLISECONDS &&
      !restarts.some((restartedAt) =>
        at >= restartedAt && at < restartedAt + PROPAGATION_MILLISECONDS
      )
    ).length;
  });
  return Math.max(0, ...late);
}
