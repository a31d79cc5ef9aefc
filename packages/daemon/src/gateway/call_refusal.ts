/** An answer of the system's own, instead of a backend server's. */
export type CallRefusal = {
  status: number;
  reason: string;
  /** When to come back; undefined where that would not help. */
  retryAfterMilliseconds?: number;
};
