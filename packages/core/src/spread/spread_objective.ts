/**
 * What a spread minimizes.
 * - "time": the time until all hosts hold the version.
 * - "origin-bytes": the bytes fetched from the origin.
 * - "haste": like "origin-bytes" until the hosts together hold every chunk.
 *   From then until the spread ends, the origin also serves chunks whose local
 *   holders can't send them at the moment. The origin then sends one or two more
 *   copies of the weights, and the spread takes a fifth less time.
 */
export type SpreadObjective = "time" | "origin-bytes" | "haste";
