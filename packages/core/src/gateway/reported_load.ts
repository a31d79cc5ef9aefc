/** What a backend server reports of its load. */
export type ReportedLoad = {
  running: number;
  waiting: number;
  slots: number;
  /**
   * Time that work takes there now, relative to the usual: 1 as usual, 2.5 for
   * two and a half times as long. Undefined if not reported.
   */
  slowdown?: number;
};
