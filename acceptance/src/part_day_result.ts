/** Result of one simulated day of prompts with parts that crash engines. */
export type PartDayResult = {
  seed: number;
  mix: string;
  disruption: string;
  crashes: number;
  /**
   * For each crashing part, the arrivals later than 3 s after its fifth crash,
   * from gateways that ran without a disruption.
   */
  lateArrivals: number[];
  /**
   * For each crashing part, the time from its third crash to its last arrival,
   * milliseconds; undefined with fewer crashes.
   */
  stoppedAfterMilliseconds: (number | undefined)[];
  /**
   * Harmless requests sent later than 6 s after the fifth crash, outside the
   * day's disruption, and those of them that were served.
   */
  harmless: { sent: number; served: number };
  /** Harmless requests of the day that were refused for crashes. */
  wronglyBlamed: number;
  /** A line for each violated requirement; empty if the day was good. */
  faults: string[];
};
