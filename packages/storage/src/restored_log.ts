import type {
  HardState,
  LogEntry,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";

/** State restored from a data folder, from which a Raft member starts. */
export type RestoredLog = {
  hardState: HardState;
  snapshot: SnapshotData;
  entries: LogEntry[];
};
