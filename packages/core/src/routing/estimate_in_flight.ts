import type { BackendServerRow } from "./backend_server_row.ts";

const REPORT_MAX_AGE_MILLISECONDS = 2_000;
/**
 * In measurements, entry hosts that counted delayed reports in full all sent
 * their calls to the backend server that was idle half a second ago
 * (docs/design/routing.md).
 */
const REPORT_WEIGHT = 0.15;

/**
 * Estimates the calls that a backend server has now. This entry host knows its
 * own calls exactly; those of other entry hosts come from a delayed report and
 * count little.
 */
export function estimateInFlight(row: BackendServerRow, now: number): number {
  const age = now - row.load.at;
  if (age >= REPORT_MAX_AGE_MILLISECONDS) return row.ownInFlight;
  const reported = row.load.running + row.load.queued - row.load.ownInFlight;
  return row.ownInFlight + Math.max(0, reported) * REPORT_WEIGHT;
}
