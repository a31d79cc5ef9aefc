import type { ColdBound } from "./cold_bound.ts";

/**
 * Part of the bound that is kept for requests that leave a host late, after a
 * stall: one each of two hosts that stand still at once.
 */
const RESERVED_REQUESTS = 2;

/**
 * Requests that all gateways together may send a cold backend server in a
 * second, however they coincide.
 *
 * @param requestsPerSecond what the backend server bears from all gateways.
 */
export function coldSlots(
  requestsPerSecond: number,
  { overshoot, slack }: ColdBound,
): number {
  const bound = requestsPerSecond * overshoot + slack;
  return Math.max(0, Math.floor(bound - RESERVED_REQUESTS));
}
