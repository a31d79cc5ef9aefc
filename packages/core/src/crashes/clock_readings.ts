/** Both clocks of a process at one moment, milliseconds. */
export type ClockReadings = {
  /** Unix time. */
  timeOfDay: number;
  monotonic: number;
};
