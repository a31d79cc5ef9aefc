/** Kept off the time from which no request may begin on older weights. */
export const weightsMargins = {
  /**
   * A gateway hears of a version a little later than its operator, and what
   * is given up still takes its way to the engine.
   */
  giveUpMilliseconds: 900,
  /** What a request takes to begin where nothing waits ahead of it. */
  beginMilliseconds: 600,
} as const;
