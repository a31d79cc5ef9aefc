import type { Departure } from "../departures/departure.ts";
import { isOutdatedBy } from "../departures/is_outdated_by.ts";
import { KnownDepartures } from "../departures/known_departures.ts";
import { LAST_SEQUENCE } from "../departures/last_sequence.ts";
import type { BackendAnnouncement } from "./backend_announcement.ts";
import { isLaterAnnouncement } from "./is_later_announcement.ts";

/** By which two announcements may differ in the time that they took. */
const MAX_DELAY_DIFFERENCE_MILLISECONDS = 1_000;

type Entry = {
  announcement: BackendAnnouncement;
  updatedAt: number;
  /** Whether it became cold without a new start, and still is. */
  isColdAgain: boolean;
  /**
   * Sequence of the announcement since which it leaves; undefined if it doesn't.
   */
  leavingSince: number | undefined;
};

type Options = {
  /** Time without an announcement after which a backend server is gone. */
  silenceTimeoutMilliseconds: number;
  /**
   * How long a gone backend server, or a departure of one that isn't known, is
   * kept, to reject late heartbeats.
   */
  goneRetentionMilliseconds: number;
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
  #departures: KnownDepartures;
  /** Cached, as every request reads it; undefined when it must be rebuilt. */
  #live: BackendAnnouncement[] | undefined;

  constructor(options: Options) {
    this.#options = options;
    this.#departures = new KnownDepartures(
      options.goneRetentionMilliseconds,
    );
  }

  /** Returns the backend servers that are not gone. */
  live(): readonly BackendAnnouncement[] {
    this.#live ??= this.all().filter(({ state }) => state !== "gone");
    return this.#live;
  }

  /** Returns all backend servers, including gone ones still remembered. */
  all(): BackendAnnouncement[] {
    return [...this.#entries.values()].map(({ announcement }) => announcement);
  }

  get(instance: string): BackendAnnouncement | undefined {
    return this.#entries.get(instance)?.announcement;
  }

  /**
   * Returns when an instance's entry last changed, by an announcement or by
   * being marked as gone, in monotonic milliseconds; 0 if unknown.
   */
  updatedAt(instance: string): number {
    return this.#entries.get(instance)?.updatedAt ?? 0;
  }

  /**
   * Sequence of the announcement since which a live instance leaves; undefined
   * if it doesn't leave, or isn't known.
   */
  leavingSince(instance: string): number | undefined {
    return this.#entries.get(instance)?.leavingSince;
  }

  /** Whether an announcement says less than a departure that is known. */
  hasDeparted(announcement: BackendAnnouncement): boolean {
    return this.#departures.outdates(announcement);
  }

  /** Departures still remembered, and when a host was first told of each. */
  departures(): readonly { departure: Departure; toldAt: number }[] {
    return this.#departures.all();
  }

  /**
   * Merges an announcement. Returns the announcements that changed in a field
   * that affects routing; empty if the announcement is outdated.
   */
  merge(announcement: BackendAnnouncement, now: number): BackendAnnouncement[] {
    const known = this.#entries.get(announcement.instance);
    if (
      this.#departures.outdates(announcement) || known !== undefined &&
        !isLaterAnnouncement(announcement, known.announcement)
    ) {
      return [];
    }
    const becameCold = known !== undefined &&
      becameColdAgain(known, announcement, now);
    const wasColdAgain = known?.isColdAgain ?? false;
    const isColdAgain = announcement.coldMilliseconds > 0 &&
      (wasColdAgain || becameCold);
    this.#set(announcement, now, isColdAgain);
    const changed = known === undefined || becameCold ||
      isColdAgain !== wasColdAgain ||
      !isEquivalentForRouting(known.announcement, announcement);
    return [
      ...(changed ? [announcement] : []),
      ...this.#endPredecessorsAt(announcement, now),
    ];
  }

  /**
   * Takes on that an instance leaves or is gone. Earlier words of the same start
   * that arrive later can't restore it, whether or not the instance is known
   * here. Returns whether this was news, and the announcements that changed in a
   * field that affects routing.
   *
   * @param toldAt when a control host was told, monotonic milliseconds
   */
  depart(
    departure: Departure,
    { now, toldAt }: { now: number; toldAt: number },
  ): { isNew: boolean; changed: BackendAnnouncement[] } {
    const { instance, state, sequence } = departure;
    const isNew = this.#departures.add(departure, toldAt);
    const known = this.#entries.get(instance)?.announcement;
    if (known === undefined || !isOutdatedBy(known, departure)) {
      return { isNew, changed: [] };
    }
    const changed = { ...known, state, sequence };
    this.#set(changed, now);
    return { isNew, changed: [changed] };
  }

  /**
   * Marks silent instances as gone and forgets those that have been gone for
   * long. Returns the announcements newly marked as gone.
   */
  expire(now: number): BackendAnnouncement[] {
    this.#departures.expire(now);
    const { silenceTimeoutMilliseconds, goneRetentionMilliseconds } =
      this.#options;
    const ended: BackendAnnouncement[] = [];
    for (const [instance, { announcement, updatedAt }] of [...this.#entries]) {
      const age = now - updatedAt;
      if (announcement.state !== "gone") {
        if (age > silenceTimeoutMilliseconds) {
          ended.push(...this.#markGone(instance, now, announcement.sequence));
        }
      } else if (age > goneRetentionMilliseconds) {
        this.#entries.delete(instance);
      }
    }
    return ended;
  }

  #markGone(
    instance: string,
    now: number,
    sequence: number,
  ): BackendAnnouncement[] {
    const known = this.#entries.get(instance)?.announcement;
    if (known === undefined || known.state === "gone") return [];
    const announcement: BackendAnnouncement = {
      ...known,
      state: "gone",
      sequence,
    };
    this.#set(announcement, now);
    return [announcement];
  }

  #set(
    announcement: BackendAnnouncement,
    updatedAt: number,
    isColdAgain = false,
  ): void {
    const known = this.#entries.get(announcement.instance);
    const wasLeaving = known?.announcement.bornAt === announcement.bornAt
      ? known.leavingSince
      : undefined;
    const leavingSince = announcement.state === "leaving"
      ? wasLeaving ?? announcement.sequence
      : undefined;
    const entry = { announcement, updatedAt, isColdAgain, leavingSince };
    this.#entries.set(announcement.instance, entry);
    this.#live = undefined;
  }

  /** Marks earlier backend servers at the address gone: it has only one. */
  #endPredecessorsAt(
    latest: BackendAnnouncement,
    now: number,
  ): BackendAnnouncement[] {
    if (latest.state === "gone") return [];
    const ended: BackendAnnouncement[] = [];
    for (const [instance, { announcement }] of [...this.#entries]) {
      if (
        instance === latest.instance || announcement.state === "gone" ||
        announcement.address !== latest.address ||
        announcement.bornAt > latest.bornAt
      ) continue;
      ended.push(...this.#markGone(instance, now, LAST_SEQUENCE));
    }
    return ended;
  }
}

/** Whether a backend server has become cold since, without a new start. */
function becameColdAgain(
  known: Entry,
  latest: BackendAnnouncement,
  now: number,
): boolean {
  if (latest.bornAt !== known.announcement.bornAt) return false;
  const left = known.announcement.coldMilliseconds - (now - known.updatedAt);
  return latest.coldMilliseconds >
    Math.max(0, left) + MAX_DELAY_DIFFERENCE_MILLISECONDS;
}

function isEquivalentForRouting(
  left: BackendAnnouncement,
  right: BackendAnnouncement,
): boolean {
  return left.state === right.state && left.bornAt === right.bornAt &&
    left.address === right.address && left.service === right.service &&
    left.slots === right.slots && left.dataCentre === right.dataCentre &&
    JSON.stringify(left.models) === JSON.stringify(right.models);
}
