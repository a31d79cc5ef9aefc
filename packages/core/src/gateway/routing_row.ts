/** The routing configuration in force. */
export type RoutingRow = {
  version: number;
  document: string;
  /** Log index of its acceptance. */
  index: number;
};
