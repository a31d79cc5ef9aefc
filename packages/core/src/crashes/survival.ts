/**
 * An answer to a request with a certain prompt part that outlived the time in
 * which the part would have crashed the backend server.
 */
export type Survival = {
  part: string;
  /** When the answer started, monotonic milliseconds. */
  begunAt: number;
  /** Time from then for which the backend server is known to have run. */
  livedMilliseconds: number;
  /** Whether the answer has come to its end. */
  isComplete: boolean;
};
