import type {
  HardState,
  LogEntry,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";

/**
 * Settings and restored state with which a Raft member starts. Times are in
 * milliseconds.
 */
export type RaftOptions = {
  id: string;
  /**
   * Minimum election timeout: the actual one is random, from once to twice
   * this, and the first one after a start is 0.4 times that. Also how recently
   * a majority must have answered for a leader to count as leading.
   */
  electionTimeoutMilliseconds: number;
  heartbeatIntervalMilliseconds: number;
  /** Uniform in [0, 1); the member's only source of randomness. */
  random: () => number;
  hardState: HardState;
  snapshot: SnapshotData;
  entries: LogEntry[];
  now: number;
};
