import type { CallerTerms } from "../callers/caller_terms.ts";
import type { EndingTerms } from "../endings/ending_terms.ts";

/**
 * How the engines of a day answer, how harmful requests end them, and how long
 * they are away then.
 */
export type EngineTerms = EndingTerms & {
  /** Milliseconds from a request until the first byte of its answer. */
  drawFirstByte?: () => number;
  /** Whether the answer to a harmful request begins before its engine ends. */
  drawHead?: () => boolean;
  /** Milliseconds that a sound answer takes from its first byte on. */
  drawStreamLength?: () => number;
  /** Sound requests a second, which must find room. */
  harmlessPerSecond?: number;
  /** Of all requests; longer than any answer. */
  routeTimeoutMilliseconds?: number;
  /** Of the day. */
  milliseconds?: number;
} & Pick<CallerTerms, "drawCrashDelay" | "harmfulPerSecond" | "crowds">;
