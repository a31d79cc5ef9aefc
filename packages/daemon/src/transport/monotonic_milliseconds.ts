/**
 * Clock for measuring durations, in milliseconds since this process started.
 * Wall-clock time can jump by seconds, which would end leases and start
 * elections without need. Some durations still go by `Date.now()`, among them
 * the lease of an entry host, the silence on its streams, and the silence of a
 * backend server towards its agent.
 */
export function monotonicMilliseconds(): number {
  return performance.now();
}
