/**
 * What a spread saves: time until N replicas are live, or origin bytes. With
 * "haste" the origin also gives, for as long as the spread lasts, what hosts
 * hold but can't give just now: a copy or two more, and a fifth less time.
 */
export type SpreadWeighing = "time" | "origin-bytes" | "haste";
