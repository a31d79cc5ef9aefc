/** All that is known of one crash, whoever was in flight there. */
export type CrashScene = {
  /** When the backend server crashed, monotonic milliseconds. */
  at: number;
  /** When its first report arrived, monotonic milliseconds. */
  knownAt: number;
  /**
   * Time from the start of each answer in flight to the crash, by the request's
   * fingerprint.
   */
  begunMilliseconds: Map<string, number>;
};
