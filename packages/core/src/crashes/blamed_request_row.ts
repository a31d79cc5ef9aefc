/**
 * A request in quarantine, as stored in the replicated tables; see `Blame` for
 * the fields.
 */
export type BlamedRequestRow = {
  fingerprint: string;
  crashes: number;
  incarnations: string[];
  termMilliseconds: number;
  /** The leader's wall-clock time of the blame, Unix milliseconds. */
  at: number;
};
