/**
 * An allotment that a host may still be using. Times are monotonic milliseconds
 * of the leader.
 */
export type HostAllotmentRow = {
  sequence: number;
  /** Requests a second. */
  rate: number;
  /** Until when the host may use `rate` even above its floor. */
  grantUntil: number;
  /** Until when the host admits no more than `rate`. */
  capUntil: number;
  /** The host reported that it applied exactly this allotment. */
  confirmed: boolean;
};
