/** Higher than the sequence of any announcement. */
export const LAST_SEQUENCE = Number.MAX_SAFE_INTEGER;
