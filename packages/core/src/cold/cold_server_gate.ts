import type { SendGate } from "../dispatch/send_gate.ts";
import type { BackendAnnouncement } from "../membership/backend_announcement.ts";
import { hashText } from "../random/hash_text.ts";
import type { ColdBound } from "./cold_bound.ts";
import type { ColdRateDivision } from "./cold_rate_division.ts";
import { coldSendInterval } from "./cold_send_interval.ts";
import type { ColdStart } from "./cold_start.ts";
import { coldSlots } from "./cold_slots.ts";
import type { NewsWatch } from "./news_watch.ts";

const UINT32_RANGE = 2 ** 32;
/** Times of day of two machines may differ by this. */
const CLOCK_DIFFERENCE_MILLISECONDS = 2_000;

/** Longer than any interval between two requests. */
const RETENTION_MILLISECONDS = 60_000;

type ServerState = {
  bornAt: number;
  /** Monotonic milliseconds. */
  coldUntil: number;
  lastSentAt: number;
  /** Whether `firstSendAt` holds. */
  isBounded: boolean;
  firstSendAt: number;
};

type KnownInterval = {
  version: number;
  requestsPerSecond: number;
  interval: number | undefined;
};

/** Why a backend server is taken to be cold. */
type Evidence = "announced" | "started" | "ended";

type Options = {
  /** This gateway's name. */
  host: string;
  bound: ColdBound;
  division: ColdRateDivision;
  /** Undefined if the service's backend servers need no such care. */
  coldStartOf: (service: string) => ColdStart | undefined;
  news: NewsWatch;
  /** Unix milliseconds. */
  timeOfDay: () => number;
  /** Monotonic milliseconds at which this process began to run. */
  startedAt: number;
  /** Called with a request that is sent to a server that counts as cold. */
  onBoundedSend: () => void;
  onCold: (
    announcement: BackendAnnouncement,
    cold: {
      evidence: Evidence;
      milliseconds: number;
      /** See `coldSendInterval`. */
      interval: number | undefined;
    },
  ) => void;
};

/**
 * Keeps the requests to a cold backend server below a rate that holds over all
 * gateways. Load pattern: a backend server, or all of a data centre, comes back
 * empty under full demand, and every gateway takes it for the least loaded one
 * at the same moment.
 *
 * Each gateway sends at most one request in an interval that follows from the
 * number of gateways, and begins at a moment within the first one that its name
 * decides, so that gateways that learn of a cold server together don't send
 * together. A gateway that isn't up to date takes every backend server of such
 * a service for a cold one.
 */
export class ColdServerGate implements SendGate {
  #options: Options;
  #servers = new Map<string, ServerState>();
  /** As they are with this version of what is told. */
  #intervals = new Map<string, KnownInterval>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** Takes in what a backend server announced, or that it is gone. */
  recordAnnouncement(announcement: BackendAnnouncement, now: number): void {
    const { instance, service, bornAt, state } = announcement;
    const known = this.#servers.get(instance);
    const isNewStart = known?.bornAt !== bornAt;
    if (known !== undefined) known.bornAt = bornAt;
    if (state === "gone") return;
    if (announcement.coldMilliseconds > 0) {
      const milliseconds = announcement.coldMilliseconds;
      return this.#markCold(announcement, "announced", milliseconds, now);
    }
    const coldStart = this.#options.coldStartOf(service);
    if (coldStart === undefined) return;
    const age = this.#options.timeOfDay() - bornAt;
    const isYoung =
      age < coldStart.milliseconds + CLOCK_DIFFERENCE_MILLISECONDS;
    if (!isNewStart || !isYoung) return;
    this.#markCold(announcement, "started", coldStart.milliseconds, now);
  }

  /** Takes in that a backend server's process ended: its next start is cold. */
  recordEnd(announcement: BackendAnnouncement, now: number): void {
    const coldStart = this.#options.coldStartOf(announcement.service);
    if (coldStart === undefined) return;
    this.#markCold(announcement, "ended", coldStart.milliseconds, now);
  }

  admits(announcement: BackendAnnouncement, now: number): boolean {
    return this.millisecondsUntilAdmission(announcement, now) <= 0;
  }

  /** Infinity while the backend server gets no requests until it is warm. */
  millisecondsUntilAdmission(
    announcement: BackendAnnouncement,
    now: number,
  ): number {
    const coldStart = this.#options.coldStartOf(announcement.service);
    if (coldStart === undefined) return 0;
    const server = this.#stateOf(announcement);
    const coldFor = server.coldUntil - now;
    if (coldFor <= 0 && this.#options.news.isUpToDate(now)) {
      server.isBounded = false;
      return 0;
    }
    const interval = this.#intervalOf(announcement, coldStart, now);
    if (interval === undefined) return coldFor > 0 ? coldFor : Infinity;
    if (!server.isBounded) {
      this.#beginBound(announcement, server, interval, now);
    }
    const { firstSendAt, lastSentAt } = server;
    const wait = Math.max(firstSendAt, lastSentAt + interval) - now;
    return coldFor > 0 ? Math.min(wait, coldFor) : wait;
  }

  countSend(announcement: BackendAnnouncement, now: number): void {
    const coldStart = this.#options.coldStartOf(announcement.service);
    if (coldStart === undefined) return;
    const server = this.#stateOf(announcement);
    server.lastSentAt = now;
    if (server.isBounded) this.#options.onBoundedSend();
  }

  /** Forgets backend servers that were sent nothing for long. */
  expire(now: number): void {
    for (const [instance, { lastSentAt, coldUntil }] of [...this.#servers]) {
      const usedAt = Math.max(lastSentAt, coldUntil);
      if (now - usedAt <= RETENTION_MILLISECONDS) continue;
      this.#servers.delete(instance);
      this.#intervals.delete(instance);
    }
  }

  /** Undefined while this gateway may send the backend server nothing. */
  #intervalOf(
    { instance }: BackendAnnouncement,
    { requestsPerSecond }: ColdStart,
    now: number,
  ): number | undefined {
    const { bound, division } = this.#options;
    if (division.count(now) === undefined) return undefined;
    const { version } = division;
    const known = this.#intervals.get(instance);
    const isCurrent = known?.version === version &&
      known.requestsPerSecond === requestsPerSecond;
    if (isCurrent) return known.interval;
    const slots = coldSlots(requestsPerSecond, bound);
    const part = division.findPart(instance, slots);
    const interval = coldSendInterval(requestsPerSecond, part);
    this.#intervals.set(instance, { version, requestsPerSecond, interval });
    return interval;
  }

  #markCold(
    announcement: BackendAnnouncement,
    evidence: Evidence,
    milliseconds: number,
    now: number,
  ): void {
    const server = this.#stateOf(announcement);
    const wasCold = server.coldUntil > now;
    server.coldUntil = Math.max(server.coldUntil, now + milliseconds);
    const coldStart = this.#options.coldStartOf(announcement.service);
    if (wasCold || coldStart === undefined) return;
    this.#options.onCold(announcement, {
      evidence,
      milliseconds,
      interval: this.#intervalOf(announcement, coldStart, now),
    });
  }

  /**
   * The first request may follow a whole interval after the start of this
   * process: the one before it may have sent just then.
   */
  #beginBound(
    { instance }: BackendAnnouncement,
    server: ServerState,
    interval: number,
    now: number,
  ): void {
    const { host, startedAt } = this.#options;
    const phase = hashText(`${instance}\n${host}`) / UINT32_RANGE;
    server.isBounded = true;
    server.firstSendAt = Math.max(
      now + phase * interval,
      startedAt + interval,
    );
  }

  #stateOf({ instance, bornAt }: BackendAnnouncement): ServerState {
    let server = this.#servers.get(instance);
    if (server === undefined) {
      server = {
        bornAt,
        coldUntil: -Infinity,
        lastSentAt: -Infinity,
        isBounded: false,
        firstSendAt: -Infinity,
      };
      this.#servers.set(instance, server);
    }
    return server;
  }
}
