/**
 * What a spread saves: time until N replicas are live, or origin bytes. With
 * "haste" the origin also gives, for as long as the spread lasts, what hosts
 * hold but can't give just now: some copies more for a fifth of the time.
 */
export type SpreadWeighing = "time" | "origin-bytes" | "haste";
