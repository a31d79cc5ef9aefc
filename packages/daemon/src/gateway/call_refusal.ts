/**
 * A refusal sent by the gateway itself, in place of a backend server's answer.
 */
export type CallRefusal = {
  status: number;
  reason: string;
  /** Delay until the client should retry; undefined if that would not help. */
  retryAfterMilliseconds?: number;
};
