/** The current routing configuration, as stored in the control state. */
export type RoutingRow = {
  version: number;
  document: string;
  /** Index of the log entry that set it. */
  index: number;
};
