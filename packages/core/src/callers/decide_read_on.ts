/** Requests of a connection that are handled at once; the others wait. */
const MAX_HANDLED = 16;
/** So many in one packet are more than any proper client sends unanswered. */
const MAX_UNANSWERED = 160;

type Decision = {
  /** Whether the request that has arrived is handled now. */
  isHandled: boolean;
  next: "read" | "wait" | "close";
};

/**
 * What becomes of a connection on which so many requests have arrived, the last
 * one among them, and aren't answered. Answers pile up before a client that only
 * asks, if each request is handled as it comes.
 *
 * @param maxHandled how many are handled at once where answers are large.
 */
export function decideReadOn(
  unanswered: number,
  maxHandled = MAX_HANDLED,
): Decision {
  const isHandled = unanswered <= maxHandled;
  if (unanswered > MAX_UNANSWERED) return { isHandled, next: "close" };
  return { isHandled, next: unanswered >= maxHandled ? "wait" : "read" };
}
