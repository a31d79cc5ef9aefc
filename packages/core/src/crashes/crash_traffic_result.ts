/** What became of simulated traffic; times in milliseconds from its start. */
export type CrashTrafficResult = {
  /** Crashes by each kind of harmful requests. */
  crashes: number[][];
  /** When harmful requests of each kind arrived at a server. */
  arrivals: number[][];
  harmless: { at: number; isRefused: boolean }[];
  /** Names of the blames, in order. */
  blames: string[];
};
