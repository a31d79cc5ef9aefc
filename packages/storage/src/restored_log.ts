import type {
  HardState,
  LogEntry,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";

/** What a data folder holds, as the consensus member starts from it. */
export type RestoredLog = {
  hardState: HardState;
  snapshot: SnapshotData;
  entries: LogEntry[];
};
