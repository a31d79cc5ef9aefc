/** Ranks of a backend server's queue, 0 (served first) to 9. */
export const RANKS = 10;
