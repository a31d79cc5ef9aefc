import type { RetryBound } from "./retry_bound.ts";
import { RetryPurse } from "./retry_purse.ts";

/**
 * A request pays for this part of what the ratio allows. A retry may be spent on
 * the requests of up to two windows, of which only the fuller one counts.
 */
const EARNED_SHARE = 1 / 2;
/**
 * Part of a window for which a retry is kept. The other half is for requests
 * that are read, and retries that arrive, some time after they were sent.
 */
const KEPT_SHARE = 1 / 2;
/** Requests come far more often than the time's part is worth reckoning. */
const MIN_STEP_MILLISECONDS = 50;
/** A window, and the time before it in which what is spent there was earned. */
const WINDOWS_OF_SLACK = 1 + KEPT_SHARE;

type Options = {
  bound: RetryBound;
  /**
   * Number of hosts by which this one divides the slack; undefined while it may
   * use none of it. The parts of all hosts add up to no more than one.
   */
  countHosts: (now: number) => number | undefined;
  now: number;
};

/**
 * One host's part of the retries that all hosts may send, by service. Load
 * pattern: a service with a small share of the requests fails as a whole, while
 * hosts are started again and again.
 *
 * A service's retries are earned by its own requests, at this host, and by the
 * time for which the process runs. A process starts with none, so that the parts
 * add up whatever the number of hosts, services and starts.
 */
export class RetryBudgets {
  #options: Options;
  #lifetime: number;
  #purses = new Map<string, { purse: RetryPurse; usedAt: number }>();
  /** What time has earned for each service; nothing is spent from it. */
  #timeEarned: RetryPurse;
  #observedAt: number;
  #hosts: number | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#lifetime = options.bound.windowMilliseconds * KEPT_SHARE;
    this.#timeEarned = new RetryPurse(this.#lifetime);
    this.#observedAt = options.now;
    this.#hosts = options.countHosts(options.now);
  }

  /** @param sentAt when the request was read at the latest. */
  countRequest(service: string, sentAt: number, now: number): void {
    const earned = this.#options.bound.ratio * EARNED_SHARE;
    this.purseOf(service, now).earn(earned, Math.min(sentAt, now));
  }

  /** What the requests for this service may spend. */
  purseOf(service: string, now: number): RetryPurse {
    this.observe(now);
    let entry = this.#purses.get(service);
    if (entry === undefined) {
      entry = { purse: this.#timeEarned.copy(), usedAt: now };
      this.#purses.set(service, entry);
    }
    entry.usedAt = now;
    return entry.purse;
  }

  /** Earns what falls to the time since the last call. */
  observe(now: number): void {
    const elapsed = Math.min(now - this.#observedAt, this.#lifetime);
    if (elapsed < MIN_STEP_MILLISECONDS) return;
    const { bound, countHosts } = this.#options;
    const before = this.#hosts;
    this.#observedAt = now;
    this.#hosts = countHosts(now);
    if (before === undefined || this.#hosts === undefined) return;
    const hosts = Math.max(before, this.#hosts);
    const rate = bound.slack / (WINDOWS_OF_SLACK * bound.windowMilliseconds);
    const earned = rate * elapsed / hosts;
    const at = now - elapsed;
    this.#timeEarned.earn(earned, at);
    for (const { purse } of this.#purses.values()) purse.earn(earned, at);
  }

  /**
   * Forgets services that had no request for a while: all that these earned or
   * spent has expired. To be called now and then.
   */
  expire(now: number): void {
    for (const [service, { usedAt }] of [...this.#purses]) {
      if (now - usedAt > this.#lifetime) this.#purses.delete(service);
    }
  }
}
