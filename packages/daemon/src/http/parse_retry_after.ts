import { collectHeader } from "./collect_header.ts";

const DECIMAL_NUMBER = /^\d+(\.\d+)?$/;
const MILLISECONDS_PER_SECOND = 1_000;

/** A requested pause, and the header as received if part of it was ignored. */
type RetryAfter = {
  milliseconds: number | "unreadable" | undefined;
  unreadable: string | undefined;
};

const NONE: RetryAfter = { milliseconds: undefined, unreadable: undefined };

/**
 * Parses the Retry-After headers of one response, in order of name and value.
 * Of several values the longest readable one counts. A date is not readable:
 * the clocks of two hosts can be seconds apart.
 *
 * @returns `milliseconds`: undefined without such a header.
 */
export function parseRetryAfter(raw: readonly string[]): RetryAfter {
  const values = collectHeader(raw, "retry-after");
  if (values.length === 0) return NONE;
  const seconds = values.map((value) => value.trim())
    .filter((value) => DECIMAL_NUMBER.test(value)).map(Number);
  const isPlain = seconds.length === 1 && values.length === 1;
  return {
    milliseconds: seconds.length === 0
      ? "unreadable"
      : Math.max(...seconds) * MILLISECONDS_PER_SECOND,
    unreadable: isPlain ? undefined : `retry-after=${values.join("|")}`,
  };
}
