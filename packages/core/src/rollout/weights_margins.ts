/**
 * Margins that are subtracted from the time after which no request may begin on
 * superseded weights.
 */
export const weightsMargins = {
  /**
   * A gateway counts from the time at which the control host that informed it
   * learned of the version; a slow control host learns of it over half a second
   * late. With a smaller margin, requests begin on superseded weights after
   * they no longer may.
   */
  namingDelayMilliseconds: 900,
  /** Time that a request takes to begin with no other queued ahead of it. */
  requestStartMilliseconds: 600,
} as const;
