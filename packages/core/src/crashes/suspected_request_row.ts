/** A request under which two backend servers have ended, not blamed yet. */
export type SuspectedRequestRow = {
  fingerprint: string;
  incarnations: string[];
  /** Leader's time of day when it was noted, Unix milliseconds. */
  at: number;
};
