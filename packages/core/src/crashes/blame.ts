/**
 * A request, or all requests with certain prompt parts, in quarantine: refused
 * for some time, the refusal period, because backend servers crashed while
 * running it.
 */
export type Blame = {
  /**
   * The request's fingerprint, or the names of one or more parts as in
   * `nameParts`: requests that hold all of these are refused.
   */
  fingerprint: string;
  /** Backend server crashes attributed to the request that are known so far. */
  crashes: number;
  /**
   * Incarnations, as in `CrashReport`, that ended in the latest of these
   * crashes. These crashes are not evidence against any other request.
   */
  incarnations: string[];
  /** Refusal period: how long the request is refused after its latest crash. */
  termMilliseconds: number;
  /** When the refusal ends, monotonic milliseconds. */
  endsAt: number;
};
