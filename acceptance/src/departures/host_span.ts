/**
 * A time in which a host was down or stood still, `performance.now()`; it ends
 * when the process is started, or goes on.
 */
export type HostSpan = { name: string; from: number; to: number };
