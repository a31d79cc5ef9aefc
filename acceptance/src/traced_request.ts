/** `stream`: one that may be resumed; the others have a plain answer. */
export type RequestKind = "stream" | "safe" | "unsafe";

/**
 * A client's request and what it saw of the answer. Times are from
 * `performance.now()`, milliseconds.
 */
export type TracedRequest = {
  id: string;
  kind: RequestKind;
  /** IP address of the gateway. */
  gateway: string;
  sentAt: number;
  /** When the last byte was handed over; undefined if that did not happen. */
  lastByteAt: number | undefined;
  /** When the latest bytes of the answer came, or the last byte was sent. */
  lastDataAt: number;
  endedAt: number;
  /** 0 without the head of an answer. */
  status: number;
  /** Whether the answer is complete as HTTP. */
  isWhole: boolean;
  /** Whether the client gave up after too long a gap. */
  isAbandoned: boolean;
  text: string;
  /** Events of a whole stream. */
  events: number;
  /** Whether it was sent on a connection kept open from an earlier request. */
  isReused: boolean;
  /** Why there is no whole answer. */
  error: string;
};
