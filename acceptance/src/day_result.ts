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
  /**
   * For each crashing request, how often it arrived at a backend server later
   * than 3 s after its third crash, when every gateway had to refuse it.
   */
  lateArrivals: number[];
  /**
   * Most arrivals in 4 s at the engine with a limit, from gateways that had to
   * keep it. Of the day's limits, this is the one with the most arrivals as a
   * share of those allowed.
   */
  maxLimitedArrivals: number;
  /** Allowed arrivals in these 4 s: 1.5 times the limit, plus 5. */
  allowedLimitedArrivals: number;
  /** A line for each violated requirement; empty if the day was good. */
  faults: string[];
};
