/** Expected time to a stream's first event, and its components. */
export type FirstEventForecast = {
  /** Total time from sending the request to its first event. */
  milliseconds: number;
  /** Part of the total spent waiting for a free slot. */
  slotWaitMilliseconds: number;
  /** Part of the total spent prefilling the prompts ahead and its own. */
  prefillMilliseconds: number;
  /**
   * Estimated requests of all callers at the backend server; can be a fraction.
   */
  requests: number;
};
