import type { BackendServerRow } from "./backend_server_row.ts";

const FAILURES_TO_EJECT = 3;
const INITIAL_EJECTION_MILLISECONDS = 500;
const MAX_EJECTION_MILLISECONDS = 30_000;

/**
 * Ejects backend servers that fail repeatedly. A backend server that fails fast
 * looks idle, so by load alone it would attract all traffic. After each
 * ejection one call is admitted (half-open); its success ends the ejection.
 */
export class OutlierDetector {
  recordSuccess(row: BackendServerRow): void {
    row.failures = 0;
    row.asideUntil = 0;
  }

  recordFailure(row: BackendServerRow, now: number): void {
    row.failures += 1;
    if (row.failures < FAILURES_TO_EJECT) return;
    const doublings = row.failures - FAILURES_TO_EJECT;
    const ejectionMilliseconds = INITIAL_EJECTION_MILLISECONDS *
      2 ** Math.min(doublings, 8);
    row.asideUntil = now +
      Math.min(ejectionMilliseconds, MAX_EJECTION_MILLISECONDS);
  }

  isEjected(row: BackendServerRow, now: number): boolean {
    if (now < row.asideUntil) return true;
    const isHalfOpen = row.failures >= FAILURES_TO_EJECT;
    return isHalfOpen && row.ownInFlight > 0;
  }
}
