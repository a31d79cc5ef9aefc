/**
 * A limit for how long something may take, which changes while some of it goes
 * on. What began under a longer limit may still take that long.
 */
export class TimeLimit {
  #milliseconds: number;
  /** Longer limits that were replaced, with the end of the last that began. */
  #replaced: { milliseconds: number; endsAt: number }[] = [];

  constructor(milliseconds: number) {
    this.#milliseconds = milliseconds;
  }

  replace(milliseconds: number, now: number): void {
    const before = this.#milliseconds;
    this.#milliseconds = milliseconds;
    this.#replaced = this.#replaced.filter((limit) =>
      limit.milliseconds > milliseconds && limit.endsAt > now
    );
    if (before <= milliseconds) return;
    this.#replaced.push({ milliseconds: before, endsAt: now + before });
  }

  /** The limit that ends nothing too early: the longest that still counts. */
  longestAt(now: number): number {
    const counting = this.#replaced
      .filter(({ endsAt }) => endsAt > now)
      .map(({ milliseconds }) => milliseconds);
    return Math.max(this.#milliseconds, ...counting);
  }
}
