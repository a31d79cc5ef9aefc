/** Current state of a model engine, read from it on its own host. */
export type EngineReport = {
  models: { name: string; version: number }[];
  /** Whether the engine is carrying out an order. */
  isBusy: boolean;
  /** Number of orders accepted since the engine started. */
  sequence: number;
  /** Requests that the engine is processing. */
  running: number;
  /** Requests that the engine has queued. */
  waiting: number;
  /** When the engine started, Unix milliseconds; 0 if it does not say. */
  bornAt: number;
};
