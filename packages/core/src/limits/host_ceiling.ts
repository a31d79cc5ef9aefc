import type { HostAllotmentRow } from "./host_allotment_row.ts";

type CeilingOptions = {
  /** Rate that the host falls back to while cut off, requests a second. */
  floor: number;
  /** Allotments the host may be using: the last confirmed and all later. */
  allotments: HostAllotmentRow[];
  now: number;
  /** Time up to which the result must hold. */
  until: number;
};

/**
 * Returns the highest rate at which a host may admit requests at any time up
 * to `until`. A host that is cut off uses its floor again once its cap has
 * expired. An allotment below the floor therefore lowers the result below the
 * floor only if the host confirmed it and its cap lasts until `until`, when the
 * rates that other hosts are granted in its place have expired.
 */
export function hostCeiling(options: CeilingOptions): number {
  const { floor, allotments, now, until } = options;
  const oldest = allotments[0];
  const isCapped = oldest?.confirmed === true && oldest.capUntil >= until;
  let ceiling = isCapped ? 0 : floor;
  for (const row of allotments) {
    const usableRate = row.grantUntil > now
      ? row.rate
      : Math.min(row.rate, floor);
    ceiling = Math.max(ceiling, usableRate);
  }
  return ceiling;
}
