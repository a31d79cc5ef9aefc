/** A request that was in flight on a backend server when the server crashed. */
export type CrashReport = {
  /**
   * Hash of the request's path, caller and body: the same for all attempts of
   * one request.
   */
  fingerprint: string;
  /** Identifies one start of one backend server. */
  incarnation: string;
  /**
   * Time from the start of the request's answer to the crash; undefined if no
   * answer had started.
   */
  begunMilliseconds: number | undefined;
};
