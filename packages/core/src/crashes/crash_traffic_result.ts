type HarmlessRequest = {
  at: number;
  parts: string[];
  isRefused: boolean;
  /** Whether it was answered whole. */
  isServed: boolean;
  /**
   * Whether it was refused by a blame of a part on which an answer was known to
   * have come to a good end whose request was sent after the latest crash.
   */
  isRefusedInVain: boolean;
};

/** What became of simulated traffic; times in milliseconds from its start. */
export type CrashTrafficResult = {
  /** Crashes by each kind of harmful requests. */
  crashes: number[][];
  /** Of these, those of which some host has heard before it lost power. */
  heardCrashes: number[][];
  /** Of these, those with a report of one of the harmful requests. */
  toldCrashes: number[][];
  /** When harmful requests of each kind arrived at a server. */
  arrivals: number[][];
  harmless: HarmlessRequest[];
  /** When gateways had started again behind a loss of power. */
  restarts: number[];
  /** Names of the blames, in order. */
  blames: string[];
};
