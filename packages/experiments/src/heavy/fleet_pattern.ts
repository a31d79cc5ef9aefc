/** What happens to a modelled fleet, over some seconds. */
export type FleetPattern = {
  seconds: number;
  /** Calls a second as a multiple of what the engines carry. */
  load: (second: number) => number;
  /** Engines that go away, the first ones of the fleet by share. */
  away: { from: number; to: number; first: number; last: number }[];
};
