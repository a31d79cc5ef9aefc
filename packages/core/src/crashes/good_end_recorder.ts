import type { GoodEnd } from "./good_end.ts";
import type { GoodEndNews } from "./good_end_news.ts";
import type { GoodEndTotals } from "./good_end_totals.ts";
import type { PartWatch } from "./part_watch.ts";

/** Answers that ended before a part was suspected are looked through for it. */
const MAX_RECENT_ENDS = 1_024;
/** How long a part is watched for after its latest watch was set. */
const WATCH_MILLISECONDS = 60_000;
const MAX_WATCHED_PARTS = 512;

type AnswerEnd = {
  parts: readonly string[];
  /** Monotonic milliseconds. */
  sentAt: number;
  endedAt: number;
};

type WatchedPart = {
  since: number;
  until: number;
  /** When the latest answer on the part ended. */
  endedAt: number;
  /** Of those not told yet, the one that was sent last. */
  untold: GoodEnd | undefined;
  /** Whether it isn't told yet that the part is watched. */
  isNew: boolean;
};

/**
 * Records which answers come to their good ends at one host, for hosts that judge
 * prompt parts. Load pattern: thousands of requests of which few share a part
 * that is suspected; while none is, an answer costs one entry in a ring.
 */
export class GoodEndRecorder {
  #totals: GoodEndTotals = { count: 0, runMilliseconds: 0 };
  #recent: AnswerEnd[] = [];
  /** Where the next end goes, once the ring is full. */
  #next = 0;
  /** By part; the latest watch is last. */
  #watched = new Map<string, WatchedPart>();
  #hasNews = false;
  /** What is being told, as it was when the telling began. */
  #telling: GoodEndNews | undefined;

  get isWatching(): boolean {
    return this.#watched.size > 0;
  }

  /**
   * To be called for each answer to a request with parts, and for those without
   * that the same servers give.
   */
  record(end: AnswerEnd): void {
    const { parts, sentAt, endedAt } = end;
    const { count, runMilliseconds } = this.#totals;
    this.#totals = {
      count: count + 1,
      runMilliseconds: runMilliseconds + endedAt - sentAt,
    };
    this.#recent[this.#next] = end;
    this.#next = (this.#next + 1) % MAX_RECENT_ENDS;
    if (this.#watched.size === 0) return;
    this.#hasNews = true;
    for (const part of parts) {
      const watched = this.#watched.get(part);
      if (watched !== undefined) noteEnd(watched, { part, sentAt, endedAt });
    }
  }

  watch(watches: readonly PartWatch[], now: number): void {
    for (const watch of watches) {
      const watched = this.#watched.get(watch.part) ?? this.#begin(watch);
      watched.since = Math.max(watched.since, watch.since);
      watched.until = now + WATCH_MILLISECONDS;
      this.#watched.delete(watch.part);
      this.#watched.set(watch.part, watched);
      if (this.#watched.size > MAX_WATCHED_PARTS) {
        this.#watched.delete(this.#watched.keys().next().value!);
      }
    }
  }

  /** All watched parts are told again, as to a host that knows of none. */
  tellAnew(): void {
    for (const watched of this.#watched.values()) watched.isNew = true;
    this.#hasNews = this.#watched.size > 0;
  }

  /**
   * What there is to tell; undefined for nothing. At most `limit` parts are told
   * of, the rest next time; totals grow only once all are told, so that no part
   * lacks an end among those that are counted.
   */
  takeNews(now: number, limit: number): GoodEndNews | undefined {
    for (const [part, { until }] of this.#watched) {
      if (now > until) this.#watched.delete(part);
    }
    const telling = this.#telling ?? this.#beginTelling();
    if (telling === undefined) return undefined;
    const ends = telling.ends.splice(0, limit);
    if (telling.ends.length > 0) {
      this.#telling = telling;
      return { ends, starts: [], totals: { count: 0, runMilliseconds: 0 } };
    }
    this.#telling = undefined;
    return { ...telling, ends };
  }

  #beginTelling(): GoodEndNews | undefined {
    if (!this.#hasNews) return undefined;
    this.#hasNews = false;
    const starts = this.#takeStarts();
    const ends = [...this.#watched.values()].flatMap((watched) => {
      const { untold } = watched;
      watched.untold = undefined;
      return untold ?? [];
    });
    return { totals: this.#totals, starts, ends };
  }

  #takeStarts(): GoodEndNews["starts"] {
    return [...this.#watched].flatMap(([part, watched]) => {
      if (!watched.isNew) return [];
      watched.isNew = false;
      const from = Math.max(watched.since, watched.endedAt);
      return [{ part, totals: this.#totalsAt(from) }];
    });
  }

  #begin({ part, since }: PartWatch): WatchedPart {
    const watched: WatchedPart = {
      since,
      until: Infinity,
      endedAt: -Infinity,
      untold: undefined,
      isNew: true,
    };
    for (const { parts, sentAt, endedAt } of this.#recent) {
      if (endedAt <= since || !parts.includes(part)) continue;
      noteEnd(watched, { part, sentAt, endedAt });
    }
    this.#hasNews = true;
    return watched;
  }

  /** As far back as ends are remembered. */
  #totalsAt(time: number): GoodEndTotals {
    const later = this.#recent.filter(({ endedAt }) => endedAt > time);
    return {
      count: this.#totals.count - later.length,
      runMilliseconds: later.reduce(
        (sum, { sentAt, endedAt }) => sum - (endedAt - sentAt),
        this.#totals.runMilliseconds,
      ),
    };
  }
}

function noteEnd(watched: WatchedPart, end: GoodEnd): void {
  watched.endedAt = Math.max(watched.endedAt, end.endedAt);
  if (end.sentAt > (watched.untold?.sentAt ?? -Infinity)) watched.untold = end;
}
