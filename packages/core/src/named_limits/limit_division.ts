import type { NamedLimit } from "./named_limit.ts";

/** A host that reported no demand for this long loses its part. */
const DEMAND_TIMEOUT_MILLISECONDS = 2_500;
/**
 * How long a limit is kept after its last announcement or demand: far longer
 * than any backend server needs a limit.
 */
const TTL_MILLISECONDS = 60_000;
const MAX_LIMITS = 1_024;
const MAX_HOSTS_PER_LIMIT = 1_024;

type Demand = { perSecond: number; at: number };
type LimitEntry = {
  limit: NamedLimit;
  demands: Map<string, Demand>;
  announcementReceivedAt: number;
};

/**
 * Divides the request rates that backend servers announce as their limits
 * among the hosts that send to them, in proportion to each host's demand.
 *
 * A backend server that announces a limit is soon the least loaded one, so
 * every host has demand for it. Each host keeps to its part of the limit
 * without coordinating with the other hosts. With a limit of one request a
 * second and many hosts, the parts are fractions of a request, so a host
 * without traffic must not hold one.
 */
export class LimitDivision {
  #entries = new Map<string, LimitEntry>();

  get isEmpty(): boolean {
    return this.#entries.size === 0;
  }

  /**
   * Records a limit, unless one that the same incarnation announced at the same
   * time or later is known. Returns whether the incarnation or its rate is new.
   */
  recordLimit(limit: NamedLimit, now: number): boolean {
    const known = this.#entries.get(limit.incarnation);
    if (known !== undefined && known.limit.announcedAt >= limit.announcedAt) {
      return false;
    }
    const entry = known ?? this.#createEntry(limit, now);
    const isChange = entry.limit.perSecond !== limit.perSecond ||
      known === undefined;
    entry.limit = limit;
    entry.announcementReceivedAt = now;
    return isChange;
  }

  /**
   * Records a host's demand for a backend server that announced a limit.
   * Ignored if no limit of the incarnation is known.
   */
  recordDemand(
    incarnation: string,
    demand: { host: string; perSecond: number },
    now: number,
  ): void {
    const entry = this.#entries.get(incarnation);
    if (entry === undefined) return;
    const { host, perSecond } = demand;
    entry.demands.delete(host);
    entry.demands.set(host, { perSecond, at: now });
    if (entry.demands.size > MAX_HOSTS_PER_LIMIT) {
      entry.demands.delete(entry.demands.keys().next().value!);
    }
  }

  /** The host's part of each limit, from 0 to 1; 0 without recent demand. */
  computeParts(
    host: string,
    now: number,
  ): { limit: NamedLimit; part: number }[] {
    return [...this.#entries.values()].map(({ limit, demands }) => {
      const live = [...demands.entries()].filter(([, { at }]) =>
        now - at <= DEMAND_TIMEOUT_MILLISECONDS
      );
      const own = live.find(([name]) => name === host)?.[1];
      const part = own === undefined
        ? 0
        : computePart(own, live.map(([, each]) => each), limit);
      return { limit, part };
    });
  }

  /** Recent demand of all hosts, for another control host that also divides. */
  listDemands(
    now: number,
  ): { limit: NamedLimit; host: string; perSecond: number }[] {
    return [...this.#entries.values()].flatMap(({ limit, demands }) =>
      [...demands]
        .filter(([, { at }]) => now - at <= DEMAND_TIMEOUT_MILLISECONDS)
        .map(([host, { perSecond }]) => ({ limit, host, perSecond }))
    );
  }

  /**
   * Drops limits without an announcement or a demand for `TTL_MILLISECONDS`; to
   * be called periodically.
   */
  expire(now: number): void {
    for (
      const [incarnation, { announcementReceivedAt, demands }] of [
        ...this.#entries,
      ]
    ) {
      const latest = [...demands.values()].reduce(
        (most, { at }) => Math.max(most, at),
        announcementReceivedAt,
      );
      if (now - latest > TTL_MILLISECONDS) this.#entries.delete(incarnation);
    }
  }

  #createEntry(limit: NamedLimit, now: number): LimitEntry {
    const entry = {
      limit,
      demands: new Map<string, Demand>(),
      announcementReceivedAt: now,
    };
    this.#entries.set(limit.incarnation, entry);
    if (this.#entries.size > MAX_LIMITS) {
      this.#entries.delete(this.#entries.keys().next().value!);
    }
    return entry;
  }
}

/**
 * Divides the limit in proportion to demand. What the demand leaves of it is
 * shared equally by all hosts with demand.
 */
function computePart(own: Demand, all: Demand[], limit: NamedLimit): number {
  const sum = all.reduce((total, { perSecond }) => total + perSecond, 0);
  const divided = Math.max(sum, limit.perSecond ?? 0);
  if (divided === 0) return 1 / all.length;
  return own.perSecond / divided + (1 - sum / divided) / all.length;
}
