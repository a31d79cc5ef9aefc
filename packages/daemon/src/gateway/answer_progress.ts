/** How far a good answer has come; monotonic milliseconds. */
export type AnswerProgress = {
  begunAt: number;
  /** When its backend server last sent something, on any connection. */
  lastReceivedAt: () => number;
};
