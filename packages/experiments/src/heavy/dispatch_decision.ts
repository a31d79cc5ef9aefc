/** Where a call goes, or when its caller is to come back. */
export type Decision =
  | { kind: "send"; engine: number; rank: number }
  | { kind: "refuse"; retryAfterMilliseconds: number };
