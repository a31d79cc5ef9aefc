/**
 * A request under which two backend servers have crashed and that is not blamed
 * yet, as stored in the replicated tables.
 */
export type SuspectedRequestRow = {
  fingerprint: string;
  incarnations: string[];
  /** The leader's wall-clock time of the entry, Unix milliseconds. */
  at: number;
};
