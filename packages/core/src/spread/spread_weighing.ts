/** What a spread saves: time until N replicas are live, or origin bytes. */
export type SpreadWeighing = "time" | "origin-bytes";
