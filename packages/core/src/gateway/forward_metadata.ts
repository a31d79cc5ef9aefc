/** What the system itself says to a backend server with a request. */
export type ForwardFacts = {
  /** What is left of the time that the client will wait. */
  deadlineMilliseconds: number;
  /** Any other instance at the address is to refuse the request. */
  instance: string;
  /** Whose key the request showed; undefined without one. */
  workspace: string | undefined;
  /** Weights of any other version are to refuse the request. */
  weightsVersion: number | undefined;
  /** Set where the system goes on with a broken stream after this event. */
  resumesAfter: string | undefined;
  /** Rank in the backend server's queue, 0 first; undefined for the usual. */
  rank: number | undefined;
};
