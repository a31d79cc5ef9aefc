/** Kept off the time from which no request may begin on older weights. */
export const weightsMargins = {
  /**
   * A gateway counts from when the control host that told it first heard of
   * the version, which a slow one does over half a second late. With less, a
   * request begins on weights that it may not begin on any more.
   */
  giveUpMilliseconds: 900,
  /** What a request takes to begin where nothing waits ahead of it. */
  beginMilliseconds: 600,
} as const;
