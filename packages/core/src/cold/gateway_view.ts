/** The gateways that one control host knows, as it tells them. */
export type GatewayView = {
  /** `hashText` of the name of each that it hears, in ascending order. */
  heard: readonly number[];
  /**
   * For each that it doesn't hear and that may go on: the number of gateways by
   * which it divides at least, see `GatewayPresence`.
   */
  unheard: readonly number[];
};
