import type { BackendServerRow } from "./backend_server_row.ts";
import { estimateInFlight } from "./estimate_in_flight.ts";

const DEFAULT_SERVICE_MILLISECONDS = 100;
const SLOW_START_MILLISECONDS = 1_000;
const SLOW_START_SHARE = 0.25;

/** A backend server that just came live takes a share that grows to whole. */
function usableSlots(row: BackendServerRow, now: number): number {
  const age = now - row.acceptingSince;
  if (age >= SLOW_START_MILLISECONDS) return row.slots;
  const share = SLOW_START_SHARE +
    (1 - SLOW_START_SHARE) * (age / SLOW_START_MILLISECONDS);
  return Math.max(1, row.slots * share);
}

/** Milliseconds until a call sent now would begin there. */
export function predictWait(row: BackendServerRow, now: number): number {
  const waiting = estimateInFlight(row, now) + 1 - usableSlots(row, now);
  if (waiting <= 0) return 0;
  const each = row.load.serviceMilliseconds || DEFAULT_SERVICE_MILLISECONDS;
  return waiting * each / row.slots;
}
