/** A request that is refused for a term, as stored in the replicated tables. */
export type BlamedRequestRow = {
  fingerprint: string;
  crashes: number;
  incarnations: string[];
  termMilliseconds: number;
  /** The leader's wall-clock time of the blame, Unix milliseconds. */
  at: number;
};
