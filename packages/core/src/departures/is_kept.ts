import type { Departure } from "./departure.ts";

/**
 * Whether a stored row already says all that a departure does, so that one that
 * is told again needs no further entry in the log.
 */
export function isKept(
  row: Departure | undefined,
  { bornAt, sequence }: Pick<Departure, "bornAt" | "sequence">,
): boolean {
  return row !== undefined && bornAt !== undefined && row.bornAt === bornAt &&
    row.sequence >= sequence;
}
