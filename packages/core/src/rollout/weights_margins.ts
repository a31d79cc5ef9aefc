/** Kept off the time from which no request may begin on older weights. */
export const weightsMargins = {
  /**
   * Control hosts count a version's age from when each heard of it, some 100
   * ms apart, and what is given up still takes its way to the engine.
   */
  giveUpMilliseconds: 350,
  /**
   * What a request takes to begin where little waits ahead of it. One that
   * takes longer is given up in time, and goes elsewhere.
   */
  beginMilliseconds: 350,
} as const;
