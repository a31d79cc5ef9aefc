import type { CutReason } from "./cut_reason.ts";

/**
 * A refusal sent by the gateway itself, in place of a backend server's answer.
 */
export type CallRefusal = {
  /** Reported if a part of an answer has been sent already. */
  cutReason?: CutReason;
  status: number;
  reason: string;
  /** Delay until the client should retry; undefined if that would not help. */
  retryAfterMilliseconds?: number;
};
