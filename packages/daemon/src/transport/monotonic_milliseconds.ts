/**
 * Clock for measuring durations. Wall-clock time can jump by seconds, which
 * would end leases and start elections without need.
 */
export function monotonicMilliseconds(): number {
  return performance.now();
}
