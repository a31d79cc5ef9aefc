/** How far a good answer has come; monotonic milliseconds. */
export type AnswerProgress = {
  /** When its request was sent to the backend server. */
  sentAt: number;
  begunAt: number;
  /** When its backend server last sent something, on any connection. */
  lastReceivedAt: () => number;
};
