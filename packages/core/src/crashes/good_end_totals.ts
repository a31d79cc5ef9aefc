/** Answers of servers that run models that came to good ends, at one host. */
export type GoodEndTotals = {
  count: number;
  /** Sum of the times from sending a request to its answer's end. */
  runMilliseconds: number;
};
