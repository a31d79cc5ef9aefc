/** What decides where a request may be served. */
export type PlacedRequest = {
  /** Name of the route. */
  route: string;
  /** Undefined where the route needs no key. */
  workspace: string | undefined;
  /**
   * Regions that its route and its workspace both allow; undefined if neither
   * is bound. Empty if they have none in common.
   */
  permittedRegions?: ReadonlySet<string> | undefined;
};
