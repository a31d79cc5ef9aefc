import type { BackendCandidate } from "../gateway/backend_candidate.ts";

/** Loads are averaged over this many updates, seconds of a host's requests. */
const WINDOW_UPDATES = 60;
const UPDATE_INTERVAL_MILLISECONDS = 50;
/** With fewer backend servers for so long, the others are taken to be gone. */
const MAX_AGE_MILLISECONDS = 1_000;
/** As a host starts, its requests reach their usual number in this time. */
const START_MILLISECONDS = 1_500;
/** A host without requests of its own in flight still gets some. */
const MIN_OWN_REQUESTS = 0.5;

/**
 * Slots of a service's backend servers that fall to this host: all slots, times
 * this host's part of the requests that are there. What is known of the other
 * hosts is their requests in load reports. Just after a start nothing is known
 * of the parts: then all slots are taken to be this host's, and only the order
 * of the queues divides them.
 */
export class SlotShare {
  #startedAt: number;
  #ownRequests = 0;
  #requests = 0;
  #slots = 0;
  #use = 0;
  /** Number of backend servers at the last update. */
  #servers = 0;
  #updates = 0;
  #updatedAt = -Infinity;

  /** @param startedAt since when this host gets requests, monotonic ms. */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  get slots(): number {
    return Math.max(1, this.#slots * this.share);
  }

  /** This host's part of the requests, 0 to 1. */
  get share(): number {
    if (this.#updates === 0) return 1;
    const own = Math.max(MIN_OWN_REQUESTS, this.#ownRequests);
    return own / Math.max(own, this.#requests);
  }

  /** Share of all slots that are in use, as of the last update. */
  get use(): number {
    return this.#use;
  }

  /** When the figures were last updated, monotonic milliseconds. */
  get updatedAt(): number {
    return this.#updatedAt;
  }

  /**
   * Updates the figures. Requests that may go to a part of the backend servers
   * only say nothing of the others.
   */
  update(usable: readonly BackendCandidate[], now: number): void {
    const age = now - this.#updatedAt;
    if (age < UPDATE_INTERVAL_MILLISECONDS) return;
    const isPart = usable.length < this.#servers;
    if (isPart && age < MAX_AGE_MILLISECONDS) return;
    this.#servers = usable.length;
    this.#updatedAt = now;
    let own = 0;
    let all = 0;
    let used = 0;
    let slots = 0;
    for (const { announcement, record } of usable) {
      if (!record.isAvailable(now)) continue;
      const requests = record.estimateRequests(now);
      const serverSlots = Math.max(1, announcement.slots);
      own += record.inFlight;
      all += requests;
      used += Math.min(serverSlots, requests);
      slots += serverSlots;
    }
    this.#slots = slots;
    this.#use = slots === 0 ? 0 : used / slots;
    if (now - this.#startedAt < START_MILLISECONDS) return;
    // An average over all that was seen, until that is a whole window. Updates
    // come with requests; weighted by the time before them, quiet moments would
    // count too much.
    this.#updates = Math.min(WINDOW_UPDATES, this.#updates + 1);
    this.#ownRequests += (own - this.#ownRequests) / this.#updates;
    this.#requests += (all - this.#requests) / this.#updates;
  }
}
