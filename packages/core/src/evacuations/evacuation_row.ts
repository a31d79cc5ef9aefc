/** Whether a data centre is evacuated, as ordered last by an operator. */
export type EvacuationRow = {
  dataCentre: string;
  isEvacuated: boolean;
  /** Counts the orders for this data centre, repeated ones included. */
  number: number;
  /** Index of the log entry that changed `isEvacuated` last. */
  index: number;
  /** When `isEvacuated` changed last, Unix milliseconds. */
  at: number;
};
