/** A leader's view of one other member's log. */
export type PeerProgress = {
  /** Last index known to match the leader's log and to be synced. */
  matchIndex: number;
  /** Latest round sent when `matchIndex` was last confirmed. */
  matchRound: number;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Round in which entries were resent after a rejection. */
  resendRound: number;
  /** The member rejected a request, and no entries were sent to it since. */
  isResendPending: boolean;
  /** Largest round that the member answered. */
  answeredRound: number;
  /** When the member last answered, milliseconds; -Infinity for never. */
  heardAt: number;
  /** Earliest time to send the snapshot again, milliseconds. */
  snapshotRetryAt: number;
  /**
   * The member's log became shorter than what it had confirmed, so the member
   * is no longer trusted.
   */
  hasRegressed: boolean;
};
