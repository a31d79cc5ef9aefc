/**
 * An answer to a request with a certain prompt part that came to its good end;
 * times in monotonic milliseconds.
 */
export type GoodEnd = {
  part: string;
  /** When the request was sent to its backend server. */
  sentAt: number;
  endedAt: number;
};
