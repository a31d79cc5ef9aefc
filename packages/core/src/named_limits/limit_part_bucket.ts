/** Longer than news of a change take to reach every host. */
const SETTLE_MILLISECONDS = 1_000;
/** Without news for so long a host is taken to be cut off by all others. */
const STALE_MILLISECONDS = 2_000;
/** What a host that is cut off goes on with, of what it had. */
const STALE_SHARE = 0.5;
/** Until a host is told its part: with eight hosts they keep to the limit. */
const UNTOLD_PART = 0.125;
/** Nobody would learn that a limit of naught has ended. */
const LEAST_PER_SECOND = 0.1;
/** Saved up by all hosts together: a number, and a time at the limit. */
const SAVED_REQUESTS = 3;
const SAVED_SECONDS = 1;
/** Of a host's own rate, as arrivals come unevenly. */
const BURST_SECONDS = 0.5;
/** So long a request that was kept off is taken to be followed by others. */
const KEPT_OFF_MILLISECONDS = 6_000;
/** Wants so long ago count a third of one of now. */
const WANT_MILLISECONDS = 6_000;

/** With so many missing behind the last one, less is wanted than before. */
const PAUSE_WANTS = 2;

type Told = { part: number; at: number };

/**
 * One host's part of what a backend server in need takes.
 *
 * Pattern: parts follow the traffic, and each host hears of a change a moment
 * apart. A part that shrinks does so at once; one that grows waits until all
 * others have shrunk, so that together they hold the limit meanwhile too. Of
 * many hosts each has a fraction of a request a second: were each to save up a
 * whole one, as many as there are hosts would be sent once traffic comes to
 * all. A host sends at a threshold drawn anew for each request, with a debt of
 * what is missing; and while nothing is kept off, it saves a fraction only.
 */
export class LimitPart {
  #perSecond: number;
  #random: () => number;
  /** Of a request, at which the next is sent. */
  #threshold: number;
  #keptOffAt = -Infinity;
  /** Earned and not saved since the threshold was drawn. */
  #unsaved = 0;
  #told: Told[] = [];
  #tokens = 0;
  #filledAt: number;
  #wanted = { sum: 0, at: 0 };
  #wantedAt = -Infinity;

  /** @param random uniform in [0, 1). */
  constructor(perSecond: number, now: number, random: () => number) {
    this.#perSecond = perSecond;
    this.#random = random;
    this.#threshold = random();
    this.#filledAt = now;
    this.#wanted.at = now;
  }

  get perSecond(): number {
    return this.#perSecond;
  }

  set perSecond(perSecond: number) {
    this.#perSecond = perSecond;
  }

  /** A control host says which part this host may use, from 0 to 1. */
  tell(part: number, now: number): void {
    this.#fill(now);
    this.#told.push({ part, at: now });
    this.#told = this.#heldLately(now);
  }

  /** When it was last told, monotonic milliseconds; undefined for never. */
  get toldAt(): number | undefined {
    return this.#told.at(-1)?.at;
  }

  /** A request would go there, had it room. */
  want(now: number): void {
    this.#decayWanted(now);
    this.#wanted.sum += 1;
    this.#wantedAt = now;
  }

  /** Requests a second that this host wanted to send there lately. */
  wantedPerSecond(now: number): number {
    this.#decayWanted(now);
    const lately = this.#wanted.sum * 1_000 / WANT_MILLISECONDS;
    const pause = Math.max(1, now - this.#wantedAt);
    return Math.min(lately, PAUSE_WANTS * 1_000 / pause);
  }

  /** Requests a second that this host may send there now. */
  rate(now: number): number {
    return this.part(now) * Math.max(LEAST_PER_SECOND, this.#perSecond);
  }

  /** The part of the limit that this host uses, from 0 to 1. */
  part(now: number): number {
    const latest = this.#told.at(-1);
    if (latest === undefined) return UNTOLD_PART;
    const least = this.#heldLately(now).reduce(
      (low, { part }) => Math.min(low, part),
      latest.part,
    );
    return now - latest.at > STALE_MILLISECONDS ? least * STALE_SHARE : least;
  }

  /** Whether a request that would go there is to be sent there. */
  admits(now: number): boolean {
    const hasRoom = this.hasRoom(now);
    if (!hasRoom) this.#keptOffAt = now;
    return hasRoom;
  }

  hasRoom(now: number): boolean {
    this.#fill(now);
    return this.#tokens >= this.#threshold;
  }

  /** A request is sent there. */
  take(now: number): void {
    this.#fill(now);
    this.#tokens -= 1;
    this.#drawThreshold();
  }

  /** When there is room next, from now, milliseconds. */
  untilRoom(now: number): number {
    this.#fill(now);
    const rate = Math.max(this.rate(now), LEAST_PER_SECOND * UNTOLD_PART);
    return Math.max(0, this.#threshold - this.#tokens) / rate * 1_000;
  }

  /** What held at some moment of the time that others need to shrink. */
  #heldLately(now: number): Told[] {
    return this.#told.filter((_, index) =>
      (this.#told[index + 1]?.at ?? Infinity) > now - SETTLE_MILLISECONDS
    );
  }

  #fill(now: number): void {
    const rate = this.rate(now);
    const earned = rate * Math.max(0, now - this.#filledAt) / 1_000;
    const saved = Math.min(this.#most(now), this.#tokens + earned);
    this.#unsaved += this.#tokens + earned - saved;
    this.#tokens = saved;
    this.#filledAt = now;
    // What can't be saved up is another chance to send.
    if (this.#unsaved >= 1) this.#drawThreshold();
  }

  #drawThreshold(): void {
    this.#threshold = this.#random();
    this.#unsaved = 0;
  }

  #most(now: number): number {
    const burst = this.rate(now) * BURST_SECONDS;
    if (now - this.#keptOffAt <= KEPT_OFF_MILLISECONDS) return 1 + burst;
    const all = SAVED_REQUESTS + SAVED_SECONDS * this.#perSecond;
    return Math.min(1, this.part(now) * all) + burst;
  }

  #decayWanted(now: number): void {
    const age = Math.max(0, now - this.#wanted.at);
    this.#wanted.sum *= Math.exp(-age / WANT_MILLISECONDS);
    this.#wanted.at = now;
  }
}
