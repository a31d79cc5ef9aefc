/**
 * How long a larger part waits before it applies: longer than a changed part
 * takes to reach every host.
 */
const GROWTH_DELAY_MILLISECONDS = 1_000;
/**
 * A host to which no control host has assigned a part for this long is assumed
 * to be cut off from all other hosts.
 */
const ASSIGNMENT_TIMEOUT_MILLISECONDS = 2_000;
/** Fraction of its last part that a host uses while it is cut off. */
const DISCONNECTED_FACTOR = 0.5;
/**
 * Part that a host uses until a control host assigns it one: with this part,
 * eight hosts together keep to the limit.
 */
const DEFAULT_PART = 0.125;
/**
 * Lowest limit. With a limit of 0, no request would be sent, and no host would
 * learn that the limit has ended.
 */
const MIN_REQUESTS_PER_SECOND = 0.1;
/**
 * All hosts together may save `SHARED_BURST_REQUESTS` plus the requests that
 * the limit allows in `SHARED_BURST_SECONDS`.
 */
const SHARED_BURST_REQUESTS = 3;
const SHARED_BURST_SECONDS = 1;
/**
 * Each host may in addition save what its own rate allows in this time, as
 * arrivals are uneven.
 */
const HOST_BURST_SECONDS = 0.5;
/**
 * For this long after a rejected request, more requests are expected, and the
 * host may save a whole token; see `#maxTokens`.
 */
const REJECTION_TTL_MILLISECONDS = 6_000;
/**
 * Time constant of the exponential decay of demand: a request this long ago
 * counts about a third of a current one.
 */
const DEMAND_DECAY_MILLISECONDS = 6_000;
/**
 * The estimate of the demand falls once this many requests are overdue after
 * the last one.
 */
const OVERDUE_REQUESTS = 2;

type Assignment = { part: number; at: number };

/**
 * Token bucket for one host's part of the request rate that a backend server
 * announced as its limit.
 *
 * Each host's part follows its demand, and hosts receive a change at slightly
 * different times. A smaller part applies at once; a larger one only after
 * `GROWTH_DELAY_MILLISECONDS`, when all other hosts have applied their smaller
 * ones, so that the hosts together keep to the limit in between as well.
 *
 * With many hosts, each may send only a fraction of a request a second. If each
 * could save a whole token, all would send at once when traffic reaches them:
 * as many requests as there are hosts. Therefore a host sends a request as soon
 * as its tokens reach a threshold, drawn at random from [0, 1) for each
 * request. A whole token is then subtracted, so the tokens can become negative.
 * While it rejects no request, a host saves at most its part of a shared burst,
 * with many hosts a fraction of a token, and what its own rate allows in
 * `HOST_BURST_SECONDS`.
 */
export class LimitPartBucket {
  #perSecond: number;
  #random: () => number;
  /** Tokens, in [0, 1), at which the next request may be sent. */
  #sendThreshold: number;
  #rejectedAt = -Infinity;
  /** Tokens beyond the bucket's capacity, since the threshold was chosen. */
  #overflowTokens = 0;
  #assignments: Assignment[] = [];
  #tokens = 0;
  #refilledAt: number;
  #demand = { sum: 0, at: 0 };
  #lastDemandAt = -Infinity;

  /** @param random uniform in [0, 1). */
  constructor(perSecond: number, now: number, random: () => number) {
    this.#perSecond = perSecond;
    this.#random = random;
    this.#sendThreshold = random();
    this.#refilledAt = now;
    this.#demand.at = now;
  }

  get perSecond(): number {
    return this.#perSecond;
  }

  set perSecond(perSecond: number) {
    this.#perSecond = perSecond;
  }

  /** Sets the part that a control host assigned to this host, from 0 to 1. */
  assignPart(part: number, now: number): void {
    this.#refill(now);
    this.#assignments.push({ part, at: now });
    this.#assignments = this.#recentAssignments(now);
  }

  /**
   * When a control host last assigned a part, monotonic milliseconds; undefined
   * if never.
   */
  get assignedAt(): number | undefined {
    return this.#assignments.at(-1)?.at;
  }

  /** Adds a request for the backend server to the demand, admitted or not. */
  recordDemand(now: number): void {
    this.#decayDemand(now);
    this.#demand.sum += 1;
    this.#lastDemandAt = now;
  }

  /** Recent demand of this host for the backend server, requests per second. */
  demandPerSecond(now: number): number {
    this.#decayDemand(now);
    const decayedRate = this.#demand.sum * 1_000 / DEMAND_DECAY_MILLISECONDS;
    const idleMilliseconds = Math.max(1, now - this.#lastDemandAt);
    return Math.min(decayedRate, OVERDUE_REQUESTS * 1_000 / idleMilliseconds);
  }

  /** Requests a second that this host may send there now. */
  rate(now: number): number {
    return this.part(now) * Math.max(MIN_REQUESTS_PER_SECOND, this.#perSecond);
  }

  /** The part of the limit that this host uses, from 0 to 1. */
  part(now: number): number {
    const latest = this.#assignments.at(-1);
    if (latest === undefined) return DEFAULT_PART;
    const lowestPart = this.#recentAssignments(now).reduce(
      (lowest, { part }) => Math.min(lowest, part),
      latest.part,
    );
    return now - latest.at > ASSIGNMENT_TIMEOUT_MILLISECONDS
      ? lowestPart * DISCONNECTED_FACTOR
      : lowestPart;
  }

  /**
   * Whether a request that would best go to this backend server may be sent
   * there now. Remembers a rejection, which lets the host save more tokens.
   */
  admit(now: number): boolean {
    const hasCapacity = this.hasCapacity(now);
    if (!hasCapacity) this.#rejectedAt = now;
    return hasCapacity;
  }

  /** Whether a request may be sent there now; records no rejection. */
  hasCapacity(now: number): boolean {
    this.#refill(now);
    return this.#tokens >= this.#sendThreshold;
  }

  /** Takes a token for a request that is sent. */
  take(now: number): void {
    this.#refill(now);
    this.#tokens -= 1;
    this.#drawThreshold();
  }

  /** Milliseconds from now until the next request may be sent. */
  millisecondsUntilCapacity(now: number): number {
    this.#refill(now);
    const rate = Math.max(
      this.rate(now),
      MIN_REQUESTS_PER_SECOND * DEFAULT_PART,
    );
    return Math.max(0, this.#sendThreshold - this.#tokens) / rate * 1_000;
  }

  /**
   * Parts in force at some moment of the last `GROWTH_DELAY_MILLISECONDS`,
   * which the other hosts need to shrink theirs.
   */
  #recentAssignments(now: number): Assignment[] {
    return this.#assignments.filter((_, index) =>
      (this.#assignments[index + 1]?.at ?? Infinity) >
        now - GROWTH_DELAY_MILLISECONDS
    );
  }

  #refill(now: number): void {
    const rate = this.rate(now);
    const earned = rate * Math.max(0, now - this.#refilledAt) / 1_000;
    const saved = Math.min(this.#maxTokens(now), this.#tokens + earned);
    this.#overflowTokens += this.#tokens + earned - saved;
    this.#tokens = saved;
    this.#refilledAt = now;
    // Every whole token that can't be saved gives another chance to send.
    if (this.#overflowTokens >= 1) this.#drawThreshold();
  }

  #drawThreshold(): void {
    this.#sendThreshold = this.#random();
    this.#overflowTokens = 0;
  }

  #maxTokens(now: number): number {
    const burst = this.rate(now) * HOST_BURST_SECONDS;
    if (now - this.#rejectedAt <= REJECTION_TTL_MILLISECONDS) return 1 + burst;
    const sharedBurst = SHARED_BURST_REQUESTS +
      SHARED_BURST_SECONDS * this.#perSecond;
    return Math.min(1, this.part(now) * sharedBurst) + burst;
  }

  #decayDemand(now: number): void {
    const age = Math.max(0, now - this.#demand.at);
    this.#demand.sum *= Math.exp(-age / DEMAND_DECAY_MILLISECONDS);
    this.#demand.at = now;
  }
}
