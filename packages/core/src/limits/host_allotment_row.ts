/** An allotment that a host may still be using. Leader's clock, ms. */
export type HostAllotmentRow = {
  sequence: number;
  rate: number;
  grantUntil: number;
  capUntil: number;
  /** The host said that it took on just this one. */
  confirmed: boolean;
};
