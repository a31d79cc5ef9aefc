import type { BackendServerRow } from "./backend_server_row.ts";

const REPORT_BELIEVED_MILLISECONDS = 2_000;
const DEFAULT_SERVICE_MILLISECONDS = 100;
const SLOW_START_MILLISECONDS = 1_000;
const SLOW_START_SHARE = 0.25;

/** Others' calls, from a report that ages: it halves as its time runs out. */
function othersInFlight(row: BackendServerRow, now: number): number {
  const age = now - row.load.at;
  if (age >= REPORT_BELIEVED_MILLISECONDS) return 0;
  const reported = row.load.running + row.load.queued - row.load.ownInFlight;
  return Math.max(0, reported) * (1 - age / REPORT_BELIEVED_MILLISECONDS);
}

/** A backend server that just came live takes a share that grows to whole. */
function usableSlots(row: BackendServerRow, now: number): number {
  const age = now - row.acceptingSince;
  if (age >= SLOW_START_MILLISECONDS) return row.slots;
  const share = SLOW_START_SHARE +
    (1 - SLOW_START_SHARE) * (age / SLOW_START_MILLISECONDS);
  return Math.max(1, row.slots * share);
}

/**
 * Milliseconds until a call sent now would begin there. Own calls under way
 * are known exactly; those of other entry hosts come from a late report.
 */
export function predictWait(row: BackendServerRow, now: number): number {
  const inFlight = row.ownInFlight + othersInFlight(row, now);
  const waiting = inFlight + 1 - usableSlots(row, now);
  if (waiting <= 0) return 0;
  const each = row.load.serviceMilliseconds || DEFAULT_SERVICE_MILLISECONDS;
  return waiting * each / row.slots;
}
