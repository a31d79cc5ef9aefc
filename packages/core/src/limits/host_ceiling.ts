import type { HostAllotmentRow } from "./host_allotment_row.ts";

type Ceiling = {
  floor: number;
  /** Allotments the host may be using: the last confirmed and all after. */
  allotments: HostAllotmentRow[];
  now: number;
  /** Until when the answer must hold. */
  until: number;
};

/**
 * The most that a host can let through at any time up to `until`. A host
 * that is cut off falls back to its floor once its cap has run out, so a cap
 * below the floor counts only when the host confirmed it and it outlasts
 * whatever is granted out of it.
 */
export function hostCeiling(options: Ceiling): number {
  const { floor, allotments, now, until } = options;
  const oldest = allotments[0];
  const capped = oldest?.confirmed === true && oldest.capUntil >= until;
  let ceiling = capped ? 0 : floor;
  for (const row of allotments) {
    const held = row.grantUntil > now ? row.rate : Math.min(row.rate, floor);
    ceiling = Math.max(ceiling, held);
  }
  return ceiling;
}
