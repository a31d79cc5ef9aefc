/** Information that the gateway adds to a request for a backend server. */
export type ForwardMetadata = {
  /** Remaining time for which the client waits, milliseconds. */
  deadlineMilliseconds: number;
  /**
   * Expected instance: any other one at the address must refuse the request.
   */
  instance: string;
  /** Workspace whose key the request presented; undefined without one. */
  workspace: string | undefined;
  /**
   * Expected version: a backend server with any other version of the weights
   * must refuse the request. Undefined for any version.
   */
  weightsVersion: number | undefined;
  /**
   * Id of the event after which the gateway resumes a broken stream; undefined
   * for a request that resumes none.
   */
  resumesAfter: string | undefined;
  /**
   * Priority in the backend server's queue: the `priority` of the routing
   * configuration, rounded and bounded. 0 goes first; undefined for the
   * default.
   */
  rank: number | undefined;
};
