/** A request that is refused for a term, as the replicated tables keep it. */
export type BlamedRequestRow = {
  fingerprint: string;
  crashes: number;
  incarnations: string[];
  termMilliseconds: number;
  /** Leader's time of day when it was blamed, Unix milliseconds. */
  at: number;
};
