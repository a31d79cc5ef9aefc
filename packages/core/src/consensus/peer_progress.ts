/** What a leader knows of one member's log. */
export type PeerProgress = {
  /** Last index known to be equal and synced there. */
  matchIndex: number;
  /** Latest round sent when `matchIndex` was confirmed. */
  matchRound: number;
  nextIndex: number;
  /** Round in which entries were sent again behind a refusal. */
  resentRound: number;
  /** It refused, and nothing was sent to it again since. */
  isFallenBack: boolean;
  /** Largest round answered. */
  answeredRound: number;
  /** When it last answered, milliseconds; -Infinity for never. */
  heardAt: number;
  /** Until when a snapshot under way is left alone, milliseconds. */
  snapshotUntil: number;
  /** Its log went back behind what it had confirmed: no longer trusted. */
  regressed: boolean;
};
