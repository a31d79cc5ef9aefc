import type { BackendServerRow } from "./backend_server_row.ts";

const FAILURES_TO_PUT_ASIDE = 3;
const FIRST_ASIDE_MILLISECONDS = 500;
const LONGEST_ASIDE_MILLISECONDS = 30_000;

/**
 * Puts backend servers aside that fail again and again. One that fails fast
 * looks idle, so by load alone it would draw all traffic. One call is let
 * through after each pause; its success brings the backend server back.
 */
export class OutlierDetector {
  recordSuccess(row: BackendServerRow): void {
    row.failures = 0;
    row.asideUntil = 0;
  }

  recordFailure(row: BackendServerRow, now: number): void {
    row.failures += 1;
    if (row.failures < FAILURES_TO_PUT_ASIDE) return;
    const times = row.failures - FAILURES_TO_PUT_ASIDE;
    const pause = FIRST_ASIDE_MILLISECONDS * 2 ** Math.min(times, 8);
    row.asideUntil = now + Math.min(pause, LONGEST_ASIDE_MILLISECONDS);
  }

  isAside(row: BackendServerRow, now: number): boolean {
    if (now < row.asideUntil) return true;
    const onTrial = row.failures >= FAILURES_TO_PUT_ASIDE;
    return onTrial && row.ownInFlight > 0;
  }
}
