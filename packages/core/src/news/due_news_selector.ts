import { NewsRateLimiter } from "./news_rate_limiter.ts";

/**
 * Only a change by more than this share of the larger of the two values is sent
 * at once.
 */
const SIGNIFICANT_CHANGE_SHARE = 0.2;

type Options = {
  /** Interval at which unchanged values are sent again. */
  refreshMilliseconds: number;
  maxPerSecond: number;
};

type Item = { key: string; value: number };

/**
 * Selects which of many values to send now, within a rate limit: new ones,
 * significantly changed ones, and those not sent for `refreshMilliseconds`.
 * Those sent longest ago come first.
 */
export class DueNewsSelector {
  #options: Options;
  #rateLimiter: NewsRateLimiter;
  #lastSent = new Map<string, { value: number; at: number }>();

  constructor(options: Options) {
    this.#options = options;
    this.#rateLimiter = new NewsRateLimiter(options.maxPerSecond);
  }

  /**
   * Returns the items to send now, and records them as sent. Forgets values
   * that are no longer among `items`.
   */
  select<Kind extends Item>(items: Kind[], now: number): Kind[] {
    const currentKeys = new Set(items.map(({ key }) => key));
    for (const key of [...this.#lastSent.keys()]) {
      if (!currentKeys.has(key)) this.#lastSent.delete(key);
    }
    const due = items.filter((item) => this.#isDue(item, now))
      .sort((left, right) => this.#lastSentAt(left) - this.#lastSentAt(right));
    const chosen = due.slice(0, this.#rateLimiter.take(due.length, now));
    for (const { key, value } of chosen) {
      this.#lastSent.set(key, { value, at: now });
    }
    return chosen;
  }

  #isDue({ key, value }: Item, now: number): boolean {
    const last = this.#lastSent.get(key);
    if (last === undefined) return true;
    if (now - last.at >= this.#options.refreshMilliseconds) return true;
    const change = Math.abs(value - last.value);
    return change > SIGNIFICANT_CHANGE_SHARE * Math.max(value, last.value);
  }

  #lastSentAt({ key }: Item): number {
    return this.#lastSent.get(key)?.at ?? -Infinity;
  }
}
