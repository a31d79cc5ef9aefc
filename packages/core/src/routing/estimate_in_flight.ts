import type { BackendServerRow } from "./backend_server_row.ts";

const REPORT_BELIEVED_MILLISECONDS = 2_000;
/**
 * By measurement: entry hosts that believe late reports in full all run to
 * the backend server that was idle half a second ago (docs/design/routing.md).
 */
const REPORT_WEIGHT = 0.15;

/**
 * Calls that a backend server has now: own ones are known exactly, those of
 * other entry hosts come from a late report and count for little.
 */
export function estimateInFlight(row: BackendServerRow, now: number): number {
  const age = now - row.load.at;
  if (age >= REPORT_BELIEVED_MILLISECONDS) return row.ownInFlight;
  const reported = row.load.running + row.load.queued - row.load.ownInFlight;
  return row.ownInFlight + Math.max(0, reported) * REPORT_WEIGHT;
}
