/** Result of one simulated day. */
export type DayResult = {
  seed: number;
  disruptions: string[];
  served: number;
  refused: number;
  broken: number;
  /** Harmless requests that were refused as if they crashed backend servers. */
  wronglyBlamed: number;
  /** For each crashing request, how often a backend server crashed under it. */
  crashes: number[];
  /** For each crashing request, how often it arrived after it had to be known. */
  lateArrivals: number[];
  /** Most arrivals in 4 s at the engine with a limit, while the limit held. */
  maxLimitedArrivals: number;
  /** Arrivals in 4 s that the limit allows, with a tolerance. */
  allowedLimitedArrivals: number;
  /** Violated requirements, as text. */
  faults: string[];
};
