import type { GatewayView } from "./gateway_view.ts";

/** Sums of parts that are whole but for rounding are whole. */
const ROUNDING = 1e-6;
/** Above any bound. */
const MAX_GATEWAYS = 1_000_000;

/**
 * Number of gateways by which each one that is heard is to divide, so that the
 * parts of all, those of unheard ones included, add up to no more than one.
 */
export function countGateways({ heard, unheard }: GatewayView): number {
  const held = unheard.reduce((sum, gateways) => sum + 1 / gateways, 0);
  const left = 1 - held;
  if (left <= ROUNDING) return MAX_GATEWAYS;
  return Math.min(Math.ceil(heard.length / left - ROUNDING), MAX_GATEWAYS);
}
