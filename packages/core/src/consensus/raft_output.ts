import type {
  HardState,
  LogEntry,
  PeerMessage,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";

/** What the edge must do, in this order: write, sync, then send. */
export type RaftOutput = {
  /** Present when term or vote changed. */
  hardState: HardState | undefined;
  /** First index replaced by `entries`, when the tail was cut. */
  truncateFrom: number | undefined;
  entries: LogEntry[];
  /** A snapshot received from the leader, to store and to install. */
  snapshot: SnapshotData | undefined;
  /** May leave before the sync: they promise nothing of this member's. */
  immediate: PeerMessage[];
  /** Promise something: only after the sync. */
  afterSync: PeerMessage[];
  /** Newly committed entries in order, for the state machine. */
  committed: LogEntry[];
};
