/**
 * A request that was in flight at several crashes of backend servers, as stored
 * in the replicated tables. The weight of its evidence was at least 2 when it
 * was stored. The row stays after the request has been blamed, until a
 * `lift-blame` command or its eviction.
 */
export type SuspectedRequestRow = {
  fingerprint: string;
  incarnations: string[];
  /** The leader's wall-clock time of the entry, Unix milliseconds. */
  at: number;
};
