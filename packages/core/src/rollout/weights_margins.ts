/** Kept off the time from which no request may begin on older weights. */
export const weightsMargins = {
  /**
   * A gateway counts from when the control host that told it first heard of
   * the version, which a slow one does over half a second late. With less, a
   * request begins on weights that it may not begin on any more.
   */
  giveUpMilliseconds: 900,
  /**
   * The same where the time of the naming is known, not only when it was heard
   * of: a late timer, and a request on its way.
   */
  confirmedGiveUpMilliseconds: 250,
  /**
   * What most requests take to begin where little waits ahead of them; one that
   * takes longer is ended when the time comes, and may go elsewhere.
   */
  beginMilliseconds: 300,
} as const;
