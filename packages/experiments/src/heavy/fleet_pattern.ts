/** Load and outages of a modelled fleet over time. */
export type FleetPattern = {
  seconds: number;
  /** Call rate in a second, as a multiple of the engines' capacity. */
  load: (second: number) => number;
  /** Factor on the rate of a kind's calls in a second; 1 if absent. */
  kindLoad?: (second: number, kind: string) => number;
  /** Weight of a workspace among all calls, by index; 1 if absent. */
  workspaceWeight?: (workspace: number) => number;
  /** Weight of a host among all calls, by index; 1 if absent. */
  hostWeight?: (host: number) => number;
  /** Host that knows nothing any more in a second. */
  restart?: { host: number; second: number };
  /** Host that gets no load reports, except in answers to its own calls. */
  cutOffHost?: number;
  /** Second from which calls that start are counted by kind; 0 if absent. */
  countedFrom?: number;
  /**
   * Outages from second `from` to second `to`, of the engines between the
   * shares `first` and `last` of the fleet.
   */
  outages: { from: number; to: number; first: number; last: number }[];
};
