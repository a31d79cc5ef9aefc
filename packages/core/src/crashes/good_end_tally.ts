import type { GoodEndNews } from "./good_end_news.ts";
import type { GoodEndTotals } from "./good_end_totals.ts";

/** The latest told of are kept; hosts watch fewer. */
const MAX_PARTS = 1_024;
const NONE: GoodEndTotals = { count: 0, runMilliseconds: 0 };

/** Hosts go on watching for longer after they were told to. */
const WATCHED_MILLISECONDS = 50_000;

/** From one telling of a part's good ends to the next. */
const PASSING_MILLISECONDS = 200;

type PartTally = {
  /** Totals of each host from which ends without the part are counted. */
  from: Map<string, GoodEndTotals>;
  hasGoodEnd: boolean;
  /** When the latest end that others were told of was, monotonic milliseconds. */
  passedOnAt: number;
  /** When hosts were told last to watch the part, monotonic milliseconds. */
  watchedAt: number;
};

/**
 * Counts how many answers have come to good ends since a prompt part had the
 * latest of its own, over all hosts that watch it. Only what such a host has
 * counted speaks against a part. Load pattern: hosts that see answers start, stop,
 * freeze and tell late.
 */
export class GoodEndTally {
  #totals = new Map<string, GoodEndTotals>();
  #parts = new Map<string, PartTally>();
  /** Parts of a host's ends that no totals have followed yet. */
  #toldEnds = new Map<string, Set<string>>();

  /** Adds what a host tells. `source` names one run of its process. */
  add(source: string, { totals, starts, ends }: GoodEndNews): void {
    const known = this.#totals.get(source) ?? NONE;
    const told = this.#toldEnds.get(source) ?? new Set<string>();
    for (const { part } of ends) told.add(part);
    if (totals.count >= known.count) this.#totals.set(source, totals);
    for (const part of told) this.noteEnd(part);
    // Without totals there is more to come, and these ends are among theirs.
    if (totals.count === 0) this.#toldEnds.set(source, told);
    else this.#toldEnds.delete(source);
    for (const { part, totals: start } of starts) {
      const tally = this.#refresh(part);
      const known = tally.from.get(source);
      const first = tally.hasGoodEnd ? totals : start;
      const from = known === undefined ? first : later(known, start);
      tally.from.set(source, from);
    }
  }

  /** Forgets a host that is gone, with all that it counted. */
  forget(source: string): void {
    this.#totals.delete(source);
    this.#toldEnds.delete(source);
    for (const { from } of this.#parts.values()) from.delete(source);
  }

  /**
   * An answer on the part has come to a good end. Returns whether hosts that hear
   * of other answers are to be told: of each, but not too often.
   */
  noteEnd(part: string, endedAt = -Infinity): boolean {
    const tally = this.#refresh(part);
    tally.hasGoodEnd = true;
    this.#countAnew(tally);
    if (endedAt - tally.passedOnAt < PASSING_MILLISECONDS) return false;
    tally.passedOnAt = endedAt;
    return true;
  }

  /** Hosts are told to watch the part. */
  noteWatch(part: string, now: number): void {
    const tally = this.#refresh(part);
    const isAnew = tally.watchedAt > -Infinity && isOver(tally, now);
    // Hosts may have ended the watch meanwhile, and told of no end since.
    if (isAnew) this.#countAnew(tally);
    tally.watchedAt = now;
  }

  /** Answers without the part that came to good ends since its latest one. */
  measure(part: string, now: number): GoodEndTotals {
    const sum = { ...NONE };
    const tally = this.#parts.get(part);
    if (tally === undefined || isOver(tally, now)) return sum;
    for (const [source, from] of tally.from) {
      const totals = this.#totals.get(source) ?? from;
      sum.count += Math.max(0, totals.count - from.count);
      sum.runMilliseconds += Math.max(
        0,
        totals.runMilliseconds - from.runMilliseconds,
      );
    }
    return sum;
  }

  #countAnew({ from }: PartTally): void {
    for (const source of from.keys()) {
      from.set(source, this.#totals.get(source) ?? NONE);
    }
  }

  #refresh(part: string): PartTally {
    const tally = this.#parts.get(part) ??
      {
        from: new Map(),
        hasGoodEnd: false,
        passedOnAt: -Infinity,
        watchedAt: -Infinity,
      };
    this.#parts.delete(part);
    this.#parts.set(part, tally);
    if (this.#parts.size > MAX_PARTS) {
      this.#parts.delete(this.#parts.keys().next().value!);
    }
    return tally;
  }
}

function isOver({ watchedAt }: PartTally, now: number): boolean {
  return now - watchedAt > WATCHED_MILLISECONDS;
}

function later(left: GoodEndTotals, right: GoodEndTotals): GoodEndTotals {
  return left.count > right.count ? left : right;
}
