/**
 * Nothing serves at all; more is asked than engines carry; or a backend server
 * has no room just now.
 */
type Cause = "outage" | "overload" | "busy";

type Refusal = {
  cause: Cause;
  /** How long the client waits for its answer, milliseconds. */
  patienceMilliseconds: number;
  /** Uniform in [0, 1). */
  random: number;
};

/**
 * Clients wait at most a third of their time. Behind an outage the later of
 * their few tries has the better chance, so almost all of that is used: hosts
 * that lost power serve again about two seconds after they are back.
 *
 * The same where engines are overloaded: a peak, a version change or a backlog
 * lasts for seconds, and whoever comes back within it is refused once more,
 * mostly for good. Its answer is late at any rate.
 */
const LASTING_SHARE = 0.31;
/** A slot gets free within the time of one answer. */
const BUSY_SHARE = 0.12;
/** Clients that were refused together must not come back together. */
const SPREAD = 0.3;

/** When a refused client is to come back, milliseconds. */
export function retryAfter(refusal: Refusal): number {
  const { cause, patienceMilliseconds, random } = refusal;
  const share = cause === "busy" ? BUSY_SHARE : LASTING_SHARE;
  return patienceMilliseconds * share * (1 - SPREAD * random);
}
