import type {
  HardState,
  LogEntry,
  PeerMessage,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";

/**
 * What the caller that performs a member's I/O must do, in this order: write,
 * sync, then send.
 */
export type RaftOutput = {
  /** Present when the term or the vote changed. */
  hardState: HardState | undefined;
  /** First stored index to delete, when the end of the log was truncated. */
  truncateFrom: number | undefined;
  entries: LogEntry[];
  /** A snapshot from the leader, to store and load into the state machine. */
  snapshot: SnapshotData | undefined;
  /**
   * Messages that assert nothing about this member's durable state, so they
   * may be sent before the sync.
   */
  immediateMessages: PeerMessage[];
  /** Messages that assert durable state: send them only after the sync. */
  messagesAfterSync: PeerMessage[];
  /** Newly committed entries in log order, for the state machine. */
  committed: LogEntry[];
};
