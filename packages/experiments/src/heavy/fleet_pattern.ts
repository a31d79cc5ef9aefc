/** What happens to a modelled fleet, over some seconds. */
export type FleetPattern = {
  seconds: number;
  /** Calls a second as a multiple of what the engines carry. */
  load: (second: number) => number;
  /** From one second to another; the engines between two parts of the fleet. */
  away: { from: number; to: number; first: number; last: number }[];
};
