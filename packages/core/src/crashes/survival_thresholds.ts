/** How long answers have to live to clear a prompt part, milliseconds. */
export type SurvivalThresholds = {
  /** Complete ones. */
  complete: number;
  /** Those that are still running. */
  running: number;
};
