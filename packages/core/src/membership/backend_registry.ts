import type { BackendStanding } from "./backend_standing.ts";
import { isLaterStanding } from "./is_later_standing.ts";

/** Higher than the sequence of any announcement. */
const LAST_SEQUENCE = Number.MAX_SAFE_INTEGER;

type Entry = { standing: BackendStanding; heardAt: number };

type Options = {
  /** Time without an announcement after which a backend server is gone. */
  silentMilliseconds: number;
  /** How long a gone backend server is kept, to reject late heartbeats. */
  forgetMilliseconds: number;
};

/**
 * Holds the latest announcement of each backend server. This is soft state: a
 * process that restarts receives all announcements again within one heartbeat
 * interval, and hosts that merge the same announcements agree, whatever the
 * order of arrival.
 */
export class BackendRegistry {
  #options: Options;
  #entries = new Map<string, Entry>();
  /** Cached, as every request reads it; undefined when it must be rebuilt. */
  #live: BackendStanding[] | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Returns the backend servers that are not gone. */
  live(): readonly BackendStanding[] {
    this.#live ??= this.all().filter(({ state }) => state !== "gone");
    return this.#live;
  }

  /** Returns all backend servers, including gone ones still remembered. */
  all(): BackendStanding[] {
    return [...this.#entries.values()].map(({ standing }) => standing);
  }

  get(instance: string): BackendStanding | undefined {
    return this.#entries.get(instance)?.standing;
  }

  /** Returns when an instance's standing was last replaced, 0 for never. */
  heardAt(instance: string): number {
    return this.#entries.get(instance)?.heardAt ?? 0;
  }

  /**
   * Merges an announcement. Returns the standings that changed in a field that
   * affects routing; empty if the announcement is outdated.
   */
  take(standing: BackendStanding, now: number): BackendStanding[] {
    const known = this.#entries.get(standing.instance);
    if (known !== undefined && !isLaterStanding(standing, known.standing)) {
      return [];
    }
    this.#set(standing, now);
    const changed = known === undefined ||
      !isEquivalentForRouting(known.standing, standing);
    return [
      ...(changed ? [standing] : []),
      ...this.#endPredecessorsAt(standing, now),
    ];
  }

  /**
   * Marks an instance that announced its own end as gone. Earlier announcements
   * of the same start that arrive late can't restore it.
   */
  leave(instance: string, now: number): BackendStanding[] {
    return this.#markGone(instance, now, LAST_SEQUENCE);
  }

  /**
   * Marks silent instances as gone and forgets those that have been gone for
   * long. Returns the standings newly marked as gone.
   */
  expire(now: number): BackendStanding[] {
    const { silentMilliseconds, forgetMilliseconds } = this.#options;
    const ended: BackendStanding[] = [];
    for (const [instance, { standing, heardAt }] of [...this.#entries]) {
      const silence = now - heardAt;
      if (standing.state !== "gone") {
        if (silence > silentMilliseconds) {
          ended.push(...this.#markGone(instance, now, standing.sequence));
        }
      } else if (silence > forgetMilliseconds) this.#entries.delete(instance);
    }
    return ended;
  }

  #markGone(
    instance: string,
    now: number,
    sequence: number,
  ): BackendStanding[] {
    const known = this.#entries.get(instance)?.standing;
    if (known === undefined || known.state === "gone") return [];
    const standing: BackendStanding = { ...known, state: "gone", sequence };
    this.#set(standing, now);
    return [standing];
  }

  #set(standing: BackendStanding, heardAt: number): void {
    this.#entries.set(standing.instance, { standing, heardAt });
    this.#live = undefined;
  }

  /** Marks earlier backend servers at the address gone: it has only one. */
  #endPredecessorsAt(latest: BackendStanding, now: number): BackendStanding[] {
    if (latest.state === "gone") return [];
    const ended: BackendStanding[] = [];
    for (const [instance, { standing }] of [...this.#entries]) {
      if (
        instance === latest.instance || standing.state === "gone" ||
        standing.address !== latest.address ||
        standing.bornAt > latest.bornAt
      ) continue;
      ended.push(...this.#markGone(instance, now, LAST_SEQUENCE));
    }
    return ended;
  }
}

function isEquivalentForRouting(
  left: BackendStanding,
  right: BackendStanding,
): boolean {
  return left.state === right.state && left.bornAt === right.bornAt &&
    left.address === right.address && left.service === right.service &&
    left.slots === right.slots && left.dataCentre === right.dataCentre &&
    JSON.stringify(left.models) === JSON.stringify(right.models);
}
