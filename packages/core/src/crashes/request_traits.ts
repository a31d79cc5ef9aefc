/** What a request can be blamed by. */
export type RequestTraits = {
  fingerprint: string;
  /** Ids of the parts of its prompt that other requests may share. */
  parts: readonly string[];
};
