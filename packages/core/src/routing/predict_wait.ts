import type { BackendServerRow } from "./backend_server_row.ts";
import { estimateInFlight } from "./estimate_in_flight.ts";

const DEFAULT_SERVICE_MILLISECONDS = 100;
const SLOW_START_MILLISECONDS = 1_000;
const SLOW_START_INITIAL_SHARE = 0.25;

/**
 * Slots that the prediction assumes to be usable. A backend server that has
 * just started to accept calls gets a share of its slots that grows linearly to
 * all of them.
 */
function usableSlots(row: BackendServerRow, now: number): number {
  const age = now - row.acceptingSince;
  if (age >= SLOW_START_MILLISECONDS) return row.slots;
  const share = SLOW_START_INITIAL_SHARE +
    (1 - SLOW_START_INITIAL_SHARE) * (age / SLOW_START_MILLISECONDS);
  return Math.max(1, row.slots * share);
}

/** Predicted milliseconds until a call sent now would start there. */
export function predictWait(row: BackendServerRow, now: number): number {
  const waiting = estimateInFlight(row, now) + 1 - usableSlots(row, now);
  if (waiting <= 0) return 0;
  const perCall = row.load.serviceMilliseconds || DEFAULT_SERVICE_MILLISECONDS;
  return waiting * perCall / row.slots;
}
