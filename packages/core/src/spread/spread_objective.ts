/**
 * What a spread minimizes: the time until N replicas are live, or the bytes
 * fetched from the origin. "haste" is like "origin-bytes" until every chunk is
 * held by a host; from then until the spread ends, the origin also serves
 * chunks whose holders can't send at the moment. The origin then sends one or
 * two more copies of the weights, and the spread takes a fifth less time.
 */
export type SpreadObjective = "time" | "origin-bytes" | "haste";
