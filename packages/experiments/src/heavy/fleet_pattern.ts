/** Load and outages of a modelled fleet over time. */
export type FleetPattern = {
  seconds: number;
  /** Call rate in a second, as a multiple of the engines' capacity. */
  load: (second: number) => number;
  /**
   * Outages from second `from` to second `to`, of the engines between the
   * shares `first` and `last` of the fleet.
   */
  outages: { from: number; to: number; first: number; last: number }[];
};
