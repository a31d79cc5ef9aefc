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
  electionTimeoutMilliseconds: number;
  heartbeatIntervalMilliseconds: number;
  /** Uniform in [0, 1); the member's only source of randomness. */
  random: () => number;
  hardState: HardState;
  snapshot: SnapshotData;
  entries: LogEntry[];
  now: number;
};
