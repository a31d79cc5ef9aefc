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
/** Saved up beside one request: arrivals come unevenly. */
const BURST_SECONDS = 0.5;
const WINDOW_MILLISECONDS = 1_000;
/** Who wanted nothing for so long has saved nothing. */
const IDLE_MILLISECONDS = 3_000;

type Told = { part: number; at: number };

/**
 * One host's part of what a backend server in need takes.
 *
 * Pattern: parts follow the traffic, and each host hears of a change a moment
 * apart. A part that shrinks does so at once; one that grows waits until all
 * others have shrunk, so that together they hold the limit meanwhile too.
 */
export class LimitPart {
  #perSecond: number;
  #told: Told[] = [];
  #tokens = 0;
  #filledAt: number;
  #wantedAt = -Infinity;
  #window = { startedAt: 0, count: 0, before: 0 };

  constructor(perSecond: number, now: number) {
    this.#perSecond = perSecond;
    this.#filledAt = now;
    this.#window.startedAt = now;
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
    this.#told = this.#told.filter(({ at }) => now - at <= SETTLE_MILLISECONDS);
    this.#told.push({ part, at: now });
  }

  /** When it was last told, monotonic milliseconds; undefined for never. */
  get toldAt(): number | undefined {
    return this.#told.at(-1)?.at;
  }

  /** A request would go there, had it room. */
  want(now: number): void {
    if (now - this.#wantedAt > IDLE_MILLISECONDS) this.#tokens = 0;
    this.#fill(now);
    this.#wantedAt = now;
    this.#roll(now);
    this.#window.count += 1;
  }

  /** Requests a second that this host wanted to send there lately. */
  wantedPerSecond(now: number): number {
    this.#roll(now);
    const { count, before } = this.#window;
    return Math.max(before, count) * 1_000 / WINDOW_MILLISECONDS;
  }

  /** Requests a second that this host may send there now. */
  rate(now: number): number {
    return this.part(now) * Math.max(LEAST_PER_SECOND, this.#perSecond);
  }

  /** The part of the limit that this host uses, from 0 to 1. */
  part(now: number): number {
    const latest = this.#told.at(-1);
    if (latest === undefined) return UNTOLD_PART;
    const recent = this.#told.filter(({ at }) =>
      now - at <= SETTLE_MILLISECONDS
    );
    const least = recent.reduce(
      (low, { part }) => Math.min(low, part),
      latest.part,
    );
    return now - latest.at > STALE_MILLISECONDS ? least * STALE_SHARE : least;
  }

  hasRoom(now: number): boolean {
    this.#fill(now);
    return this.#tokens >= 1;
  }

  /** A request is sent there. */
  take(now: number): void {
    this.#fill(now);
    this.#tokens -= 1;
  }

  /** When there is room next, from now, milliseconds. */
  untilRoom(now: number): number {
    this.#fill(now);
    if (this.#tokens >= 1) return 0;
    const rate = Math.max(this.rate(now), LEAST_PER_SECOND * UNTOLD_PART);
    return (1 - this.#tokens) / rate * 1_000;
  }

  #fill(now: number): void {
    const rate = this.rate(now);
    const earned = rate * Math.max(0, now - this.#filledAt) / 1_000;
    const most = 1 + rate * BURST_SECONDS;
    this.#tokens = Math.min(most, this.#tokens + earned);
    this.#filledAt = now;
  }

  #roll(now: number): void {
    const elapsed = now - this.#window.startedAt;
    if (elapsed < WINDOW_MILLISECONDS) return;
    const isNext = elapsed < 2 * WINDOW_MILLISECONDS;
    this.#window = {
      startedAt: now,
      count: 0,
      before: isNext ? this.#window.count * WINDOW_MILLISECONDS / elapsed : 0,
    };
  }
}
