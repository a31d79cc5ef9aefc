/**
 * A period in which a backend server's responses announced a limit. Times are
 * from `performance.now()`, milliseconds.
 */
export type LimitPeriod = { perSecond: number; from: number; to: number };
