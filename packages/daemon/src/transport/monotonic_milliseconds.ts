/**
 * Time for every measure of duration: the time of day can jump by seconds,
 * which would end leases and start elections for nothing.
 */
export function monotonicMilliseconds(): number {
  return performance.now();
}
