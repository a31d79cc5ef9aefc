/** What an engine says of itself to its own host; fresh. */
export type EngineReport = {
  models: { name: string; version: number }[];
  /** An order is being carried out. */
  isBusy: boolean;
  /** Orders accepted since its start. */
  sequence: number;
  running: number;
  waiting: number;
  /** Unix milliseconds of its start; 0 when it does not say. */
  bornAt: number;
};
