import type {
  HardState,
  LogEntry,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";

/** How a consensus member starts; times in milliseconds. */
export type RaftOptions = {
  id: string;
  electionMilliseconds: number;
  heartbeatMilliseconds: number;
  /** Uniform in [0, 1); the only source of chance. */
  random: () => number;
  hardState: HardState;
  snapshot: SnapshotData;
  entries: LogEntry[];
  now: number;
};
