/** Bound on the requests that a cold backend server gets in any one second. */
export type ColdBound = {
  /** The bound is this multiple of what the server bears per second, */
  overshoot: number;
  /** plus this many requests. */
  slack: number;
};
