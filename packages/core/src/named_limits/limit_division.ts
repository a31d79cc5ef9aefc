import type { NamedLimit } from "./named_limit.ts";

/** A host that wanted something so long ago gives its part back. */
const SILENT_MILLISECONDS = 2_500;
/** Long behind the end of any need that nobody speaks of. */
const FORGET_MILLISECONDS = 60_000;
const MOST_LIMITS = 1_024;
const MOST_HOSTS = 1_024;

type Wanted = { perSecond: number; at: number };
type Entry = {
  limit: NamedLimit;
  wanted: Map<string, Wanted>;
  heardAt: number;
};

/**
 * Divides what backend servers in need take over the hosts that send to them,
 * in proportion to what each wants to send there.
 *
 * Pattern: a backend server in need is soon the emptiest of all, so that every
 * host wants to send there. Each keeps to its part without a word to the
 * others; parts of one request a second among many hosts are fractions, which
 * whoever has no traffic must not hold.
 */
export class LimitDivision {
  #entries = new Map<string, Entry>();

  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /** Whether it says something later than what is known. */
  name(limit: NamedLimit, now: number): boolean {
    const known = this.#entries.get(limit.incarnation);
    if (known !== undefined && known.limit.saidAt >= limit.saidAt) return false;
    const entry = known ?? this.#open(limit, now);
    const isNews = entry.limit.perSecond !== limit.perSecond ||
      known === undefined;
    entry.limit = limit;
    entry.heardAt = now;
    return isNews;
  }

  /** What a host wants to send to a backend server that named its limit. */
  want(
    incarnation: string,
    wanted: { host: string; perSecond: number },
    now: number,
  ): void {
    const entry = this.#entries.get(incarnation);
    if (entry === undefined) return;
    const { host, perSecond } = wanted;
    entry.wanted.delete(host);
    entry.wanted.set(host, { perSecond, at: now });
    if (entry.wanted.size > MOST_HOSTS) {
      entry.wanted.delete(entry.wanted.keys().next().value!);
    }
  }

  /** A host's part of each limit, from 0 to 1. */
  partsOf(host: string, now: number): { limit: NamedLimit; part: number }[] {
    return [...this.#entries.values()].map(({ limit, wanted }) => {
      const live = [...wanted.entries()].filter(([, { at }]) =>
        now - at <= SILENT_MILLISECONDS
      );
      const own = live.find(([name]) => name === host)?.[1];
      const part = own === undefined
        ? 0
        : partOf(own, live.map(([, each]) => each), limit);
      return { limit, part };
    });
  }

  /** All that hosts want, for another that divides as well. */
  all(now: number): { limit: NamedLimit; host: string; perSecond: number }[] {
    return [...this.#entries.values()].flatMap(({ limit, wanted }) =>
      [...wanted]
        .filter(([, { at }]) => now - at <= SILENT_MILLISECONDS)
        .map(([host, { perSecond }]) => ({ limit, host, perSecond }))
    );
  }

  expire(now: number): void {
    for (const [incarnation, { heardAt, wanted }] of [...this.#entries]) {
      const latest = [...wanted.values()].reduce(
        (most, { at }) => Math.max(most, at),
        heardAt,
      );
      if (now - latest > FORGET_MILLISECONDS) this.#entries.delete(incarnation);
    }
  }

  #open(limit: NamedLimit, now: number): Entry {
    const entry = { limit, wanted: new Map<string, Wanted>(), heardAt: now };
    this.#entries.set(limit.incarnation, entry);
    if (this.#entries.size > MOST_LIMITS) {
      this.#entries.delete(this.#entries.keys().next().value!);
    }
    return entry;
  }
}

/** In proportion to what is wanted; all share what nobody wants alike. */
function partOf(own: Wanted, all: Wanted[], limit: NamedLimit): number {
  const sum = all.reduce((total, { perSecond }) => total + perSecond, 0);
  const most = Math.max(sum, limit.perSecond ?? 0);
  if (most === 0) return 1 / all.length;
  return own.perSecond / most + (1 - sum / most) / all.length;
}
