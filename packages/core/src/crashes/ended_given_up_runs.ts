import type { GivenUpRun } from "./given_up_run.ts";

/**
 * What one host had given up at a backend server that has ended; at least one
 * run.
 */
export type EndedGivenUpRuns<Run> = {
  /** When the backend server ended, or might have; monotonic milliseconds. */
  at: number;
  runs: GivenUpRun<Run>[];
};
