/** A request that was in flight on a backend server when the server crashed. */
export type CrashReport = {
  /**
   * Hash of the request's path, caller and body: the same for all attempts of
   * one request.
   */
  fingerprint: string;
  /**
   * Ids of the parts of its prompt that other requests may share; none if
   * missing.
   */
  parts?: readonly string[];
  /**
   * Identifies one start of one backend server: `instance@bornAt` in gateways;
   * in reports of entry hosts, the incarnation of the agent's process and the
   * number of backend server ends that the agent has detected.
   */
  incarnation: string;
  /**
   * Time from the start of the request's answer to the crash; undefined if no
   * answer had started.
   */
  begunMilliseconds: number | undefined;
  /** Time from sending the request to the crash; `begunMilliseconds` if missing. */
  sentMilliseconds?: number;
  /**
   * When the backend server crashed, monotonic milliseconds; the time of the
   * report if missing.
   */
  crashedAt?: number;
  /**
   * Whether the host had given the request up before the crash; the backend
   * server may have gone on with it.
   */
  isGivenUp?: boolean;
};
