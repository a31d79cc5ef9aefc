import type { ColdPart } from "./cold_part.ts";

/** Divides the rate of cold backend servers among the gateways. */
export interface ColdRateDivision {
  /** Changes whenever parts may have changed. */
  readonly version: number;
  /**
   * Number of gateways that is reckoned with; undefined while this one may send
   * cold backend servers nothing.
   */
  count(now: number): number | undefined;
  /**
   * This gateway's part of the `slots` of a cold backend server, while `count`
   * gives a number.
   */
  findPart(instance: string, slots: number): ColdPart;
}
