import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import type { Departure } from "./departure.ts";
import { isOutdatedBy } from "./is_outdated_by.ts";
import { laterDeparture } from "./later_departure.ts";

/** As many as the replicated tables hold. */
const MAX_KNOWN_DEPARTURES = 8_192;

type Known = { departure: Departure; toldAt: number };

/**
 * Departures that this host has heard of, also of backend servers that it
 * doesn't know: a heartbeat or a list from before may still be on its way.
 */
export class KnownDepartures {
  #retentionMilliseconds: number;
  /** By instance, oldest first. */
  #known = new Map<string, Known>();

  /** @param retentionMilliseconds counted from when a host was first told */
  constructor(retentionMilliseconds: number) {
    this.#retentionMilliseconds = retentionMilliseconds;
  }

  /** Returns whether this departure was news. */
  add(departure: Departure, toldAt: number): boolean {
    const known = this.#known.get(departure.instance)?.departure;
    if (known !== undefined && laterDeparture(known, departure) === known) {
      return false;
    }
    this.#known.delete(departure.instance);
    this.#known.set(departure.instance, { departure, toldAt });
    if (this.#known.size > MAX_KNOWN_DEPARTURES) {
      this.#known.delete(this.#known.keys().next().value!);
    }
    return true;
  }

  /** Whether an announcement says less than a departure that is known. */
  outdates(announcement: BackendAnnouncement): boolean {
    const known = this.#known.get(announcement.instance);
    return known !== undefined && isOutdatedBy(announcement, known.departure);
  }

  all(): readonly Known[] {
    return [...this.#known.values()];
  }

  expire(now: number): void {
    for (const [instance, { toldAt }] of this.#known) {
      if (now - toldAt > this.#retentionMilliseconds) {
        this.#known.delete(instance);
      }
    }
  }
}
