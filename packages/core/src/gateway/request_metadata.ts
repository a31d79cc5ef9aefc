/** Information in a client request's headers that the gateway uses. */
export type RequestMetadata = {
  /** Identifies one attempt of a client; undefined if missing. */
  id: string | undefined;
  /**
   * Time from the request's arrival for which the client waits for the response
   * (its patience), milliseconds; undefined if not given.
   */
  deadlineMilliseconds: number | undefined;
  /** Workspace key that the request presents; undefined without one. */
  key: string | undefined;
  /** Requested model; undefined for services without an engine. */
  model: string | undefined;
  promptTokens: number;
  /**
   * Ids of the prompt's parts that other requests may share, in order; empty if
   * none are known.
   */
  sharedParts: readonly string[];
  /** Largest number of tokens that may be generated. */
  maxOutputTokens: number;
  /** The client's estimate of the generated tokens; often far off. */
  expectedOutputTokens: number | undefined;
  /**
   * Id of the event after which the client resumes a stream; undefined for a
   * request that resumes none.
   */
  resumesAfter: string | undefined;
};
