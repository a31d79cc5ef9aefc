/** Information in a client request's headers that the gateway uses. */
export type RequestMetadata = {
  /** Identifies one attempt of a client; undefined if missing. */
  id: string | undefined;
  /** How long the client waits for the response; undefined if not given. */
  deadlineMilliseconds: number | undefined;
  /** Workspace key that the request presents; undefined without one. */
  key: string | undefined;
  /** Requested model; undefined for services without an engine. */
  model: string | undefined;
  promptTokens: number;
  /** Largest number of tokens that may be generated. */
  maxOutputTokens: number;
  /** The client's estimate of the generated tokens; often far off. */
  expectedOutputTokens: number | undefined;
  /** Id of the event after which the client resumes a stream. */
  resumesAfter: string | undefined;
};
