import type { RetryBound } from "./retry_bound.ts";
import { RetryPurse } from "./retry_purse.ts";

/**
 * A request pays for this part of what the ratio allows. A retry may be spent on
 * the requests of up to two windows, of which only the fuller one counts.
 */
const EARNED_SHARE = 1 / 2;
/** Part of a window for which a retry is kept. */
const KEPT_SHARE = 1 / 2;
/**
 * Part of a window for which requests and retries may be under way. A retry
 * waits where the answers of servers take long.
 */
const UNDER_WAY_SHARE = 1 - KEPT_SHARE;
/**
 * The slack is earned over this many windows: what arrives in a window was spent
 * in it or up to `UNDER_WAY_SHARE` before, and earned up to `KEPT_SHARE` earlier.
 */
const SLACK_WINDOWS = 1 + KEPT_SHARE + UNDER_WAY_SHARE;
/** Shorter steps of time earn too little to be added up with each request. */
const MIN_STEP_MILLISECONDS = 50;

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
  #bound: RetryBound;
  #countHosts: Options["countHosts"];
  #lifetimeMilliseconds: number;
  #purses = new Map<string, { purse: RetryPurse; usedAt: number }>();
  /** What time has earned for each service; nothing is spent from it. */
  #timeEarned: RetryPurse;
  #observedAt: number;
  #hosts: number | undefined;

  constructor({ bound, countHosts, now }: Options) {
    this.#bound = bound;
    this.#countHosts = countHosts;
    this.#lifetimeMilliseconds = bound.windowMilliseconds * KEPT_SHARE;
    this.#timeEarned = new RetryPurse(this.#lifetimeMilliseconds);
    this.#observedAt = now;
    this.#hosts = countHosts(now);
  }

  /** Another bound holds from now on; what was earned under the last is gone. */
  replaceBound(bound: RetryBound, now: number): void {
    if (isSame(bound, this.#bound)) return;
    this.#bound = bound;
    this.#lifetimeMilliseconds = bound.windowMilliseconds * KEPT_SHARE;
    this.#timeEarned = new RetryPurse(this.#lifetimeMilliseconds);
    this.#purses.clear();
    this.#observedAt = now;
  }

  /** @param sentAt when the request was read at the latest. */
  countRequest(service: string, sentAt: number, now: number): void {
    const earned = this.#bound.ratio * EARNED_SHARE;
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

  /**
   * Earns what falls to the time since the last call; to be called twice a
   * second. A long pause earns nothing that is still there behind it.
   */
  observe(now: number): void {
    const elapsed = Math.min(
      now - this.#observedAt,
      this.#lifetimeMilliseconds,
    );
    if (elapsed < MIN_STEP_MILLISECONDS) return;
    const before = this.#hosts;
    this.#observedAt = now;
    this.#hosts = this.#countHosts(now);
    if (before === undefined || this.#hosts === undefined) return;
    const hosts = Math.max(before, this.#hosts);
    const { slack, windowMilliseconds } = this.#bound;
    const perMillisecond = slack / (SLACK_WINDOWS * windowMilliseconds);
    const earned = perMillisecond * elapsed / hosts;
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
      if (now - usedAt > this.#lifetimeMilliseconds) {
        this.#purses.delete(service);
      }
    }
  }
}

function isSame(left: RetryBound, right: RetryBound): boolean {
  return left.ratio === right.ratio && left.slack === right.slack &&
    left.windowMilliseconds === right.windowMilliseconds;
}
