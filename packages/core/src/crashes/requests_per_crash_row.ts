/** A request that ends what runs it is mostly among the last to be sent there. */
export const REQUESTS_PER_CRASH_ROW = 6;
