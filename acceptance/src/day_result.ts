/** What a day showed. */
export type DayFigures = {
  seed: number;
  troubles: string[];
  served: number;
  refused: number;
  broken: number;
  /** Requests of others that were refused as if they ended backend servers. */
  wronglyBlamed: number;
  /** Ends under the requests at fault, and late arrivals of each. */
  ends: number[];
  lateArrivals: number[];
  /** Most in 4 s at the engine in need, and what its limit allows. */
  mostLimited: number;
  allowedLimited: number;
  faults: string[];
};
