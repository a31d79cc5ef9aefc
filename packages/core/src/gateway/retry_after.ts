/**
 * Why a request is refused. "outage": no backend server is available.
 * "overload": the load exceeds the capacity of the engines. "busy": the backend
 * servers have no free capacity at this moment.
 */
type Cause = "outage" | "overload" | "busy";

type Refusal = {
  cause: Cause;
  /**
   * How long the client waits for its response (its patience), milliseconds.
   */
  patienceMilliseconds: number;
  /** Uniform in [0, 1). */
  random: number;
};

/**
 * Retry delay after an outage or overload, as a share of the client's patience.
 * Clients wait at most a third of their patience before a retry. After an
 * outage a later one of their few tries is more likely to succeed, because
 * hosts that lost power serve again about two seconds after they are back. The
 * delay therefore uses almost the whole third.
 *
 * Overload by a peak, a version change or a backlog also lasts for seconds. A
 * client that retries while it lasts is refused again, and most clients then
 * give up. A response after such a delay misses its target time in any case, so
 * a longer delay costs nothing.
 */
const LONG_DELAY_SHARE = 0.31;
/**
 * Retry delay for a busy service, as a share of the client's patience: a slot
 * becomes free within the duration of one response.
 */
const SHORT_DELAY_SHARE = 0.12;
/**
 * Random part of the delay: clients that were refused at the same time must not
 * retry at the same time.
 */
const JITTER_SHARE = 0.3;

/** Delay after which a refused client should retry, milliseconds. */
export function retryAfter(refusal: Refusal): number {
  const { cause, patienceMilliseconds, random } = refusal;
  const share = cause === "busy" ? SHORT_DELAY_SHARE : LONG_DELAY_SHARE;
  return patienceMilliseconds * share * (1 - JITTER_SHARE * random);
}
