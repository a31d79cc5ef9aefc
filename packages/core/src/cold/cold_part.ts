/** What of a cold backend server's rate falls to one gateway. */
export type ColdPart = {
  /** Requests that it may send there in a second. */
  requests: number;
  /** Number of gateways among which the rate is divided. */
  gateways: number;
};
