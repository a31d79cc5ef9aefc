/** What a request says of itself, besides method, path and body. */
export type RequestFacts = {
  /** Names one attempt of a client; undefined when it is missing. */
  id: string | undefined;
  /** How long the client will wait, milliseconds. */
  deadlineMilliseconds: number | undefined;
  /** The key that was shown; undefined for none. */
  key: string | undefined;
  /** Model that the request is for; undefined for plain services. */
  model: string | undefined;
  promptTokens: number;
  /** Largest number of tokens that may be generated. */
  mostOutputTokens: number;
  /** The client's guess of how many will be; often far off. */
  expectedOutputTokens: number | undefined;
  /** The client goes on with a stream after this event. */
  resumesAfter: string | undefined;
};
