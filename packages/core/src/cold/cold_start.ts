/** How a service's backend servers behave after a start during traffic. */
export type ColdStart = {
  /** Time after a start in which a backend server is cold, milliseconds. */
  milliseconds: number;
  /** Requests per second that it bears from all hosts together meanwhile. */
  requestsPerSecond: number;
};
