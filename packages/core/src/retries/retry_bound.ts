/**
 * Bound on the repeats that backend servers get from all hosts together. In any
 * window, those of one service are at most `ratio` times the requests for that
 * service plus `slack`; the requests are counted in that window, the one before
 * it or the one half a window earlier, whichever has most.
 */
export type RetryBound = {
  ratio: number;
  slack: number;
  windowMilliseconds: number;
};
