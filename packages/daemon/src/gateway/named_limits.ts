import { create } from "@bufbuild/protobuf";
import type { AnswerMetadata } from "@teaselrouter/core/gateway/answer_metadata.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { incarnationOf } from "@teaselrouter/core/membership/incarnation_of.ts";
import { LimitPartBucket } from "@teaselrouter/core/named_limits/limit_part_bucket.ts";
import type { NamedLimit } from "@teaselrouter/core/named_limits/named_limit.ts";
import { DueNewsSelector } from "@teaselrouter/core/news/due_news_selector.ts";
import {
  type LimitNews,
  LimitNewsSchema,
} from "@teaselrouter/messages/follow.ts";
import type { Observable } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { decodeLimit } from "../transport/decode_limit.ts";
import { encodeLimit } from "../transport/encode_limit.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * Interval at which this gateway sends its changed demands to control hosts: a
 * fraction of the 1 s after which other hosts use the part that this host gave
 * up.
 */
const PUBLISH_INTERVAL_MILLISECONDS = 250;
/**
 * Unchanged demands are published again after this time. A control host ignores
 * the demand of a gateway from which none has arrived for 2.5 s.
 */
const REFRESH_MILLISECONDS = 1_000;
/** Amounts to 3 KB a second for each control host that is followed. */
const MAX_DEMANDS_PER_SECOND = 40;
/** The end of a limit is repeated for this long, in case a message is lost. */
const END_NOTICE_MILLISECONDS = 3_000;
/**
 * The end of a limit is remembered for this long, so that a late update doesn't
 * restore the limit.
 */
const ENDED_LIMIT_RETENTION_MILLISECONDS = 60_000;

type TrackedLimit = { limit: NamedLimit; bucket: LimitPartBucket | undefined };

type Options = {
  host: string;
  backends$: Observable<BackendAnnouncement[]>;
  updates$: Observable<LimitNews>;
  publish: (news: LimitNews) => void;
  log: EventLog;
  random: () => number;
};

/**
 * Keeps this host within its part of the limits that overloaded backend servers
 * announce, and sends control hosts the requests per second that it would send
 * to each of these servers.
 */
export class NamedLimits {
  #options: Options;
  /** By incarnation, as `incarnationOf` returns it. */
  #tracked = new Map<string, TrackedLimit>();
  #due = new DueNewsSelector({
    refreshMilliseconds: REFRESH_MILLISECONDS,
    maxPerSecond: MAX_DEMANDS_PER_SECOND,
  });
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
    options.backends$.subscribe((changed) =>
      this.#dropEndedIncarnations(changed)
    );
    options.updates$.subscribe((update) => this.#applyUpdate(update));
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Records the limit that an answer names. A signed answer without one ends
   * the known limit.
   */
  recordAnswer(
    announcement: BackendAnnouncement,
    metadata: AnswerMetadata,
  ): void {
    const { limitPerSecond: perSecond, isSigned } = metadata;
    const incarnation = incarnationOf(announcement);
    const namesLimit = perSecond !== undefined;
    if (!namesLimit && !(isSigned && this.#tracked.has(incarnation))) return;
    const announcedAt = monotonicMilliseconds();
    this.#record({ incarnation, perSecond, announcedAt }, "heard");
  }

  /** Whether the backend server has a limit now. */
  isLimited(announcement: BackendAnnouncement): boolean {
    return this.#bucketOf(announcement) !== undefined;
  }

  /**
   * Requests a second that the backend server accepts from all hosts together;
   * undefined without a limit.
   */
  perSecondOf(announcement: BackendAnnouncement): number | undefined {
    return this.#bucketOf(announcement)?.perSecond;
  }

  /**
   * Whether a request may be sent to the backend server that is best for it.
   * Counts the request as demand for that backend server.
   */
  requestAdmission(announcement: BackendAnnouncement): boolean {
    const bucket = this.#bucketOf(announcement);
    if (bucket === undefined) return true;
    const now = monotonicMilliseconds();
    bucket.recordDemand(now);
    return bucket.admit(now);
  }

  /** Whether the limit admits a request now; counts nothing. */
  hasCapacity(announcement: BackendAnnouncement): boolean {
    return this.#bucketOf(announcement)?.hasCapacity(monotonicMilliseconds()) ??
      true;
  }

  /** Counts a request that is sent to the backend server. */
  countSend(announcement: BackendAnnouncement): void {
    this.#bucketOf(announcement)?.take(monotonicMilliseconds());
  }

  /**
   * Milliseconds until the limit admits a request; 0 without a limit.
   */
  millisecondsUntilCapacity(announcement: BackendAnnouncement): number {
    return this.#bucketOf(announcement)?.millisecondsUntilCapacity(
      monotonicMilliseconds(),
    ) ?? 0;
  }

  /**
   * Logs that a request was kept off a limited backend server; `to` is the one
   * it was sent to instead, undefined for none.
   */
  logPassedOver(
    id: string,
    announcement: BackendAnnouncement,
    to: BackendAnnouncement | undefined,
  ): void {
    const bucket = this.#bucketOf(announcement);
    if (bucket === undefined) return;
    const now = monotonicMilliseconds();
    const { assignedAt } = bucket;
    this.#options.log.info("limited-server-passed-over", {
      id,
      instance: announcement.instance,
      per_second: bucket.perSecond,
      part: bucket.part(now).toFixed(3),
      told_milliseconds_ago: assignedAt === undefined
        ? "never"
        : Math.round(now - assignedAt),
      to: to?.instance ?? "none",
    });
  }

  #bucketOf(announcement: BackendAnnouncement): LimitPartBucket | undefined {
    if (this.#tracked.size === 0) return undefined;
    return this.#tracked.get(incarnationOf(announcement))?.bucket;
  }

  #applyUpdate({ parts }: LimitNews): void {
    const now = monotonicMilliseconds();
    for (const assignment of parts) {
      const limit = decodeLimit(assignment, now);
      const isKnown = this.#tracked.has(limit.incarnation);
      if (limit.perSecond !== undefined || isKnown) this.#record(limit, "told");
      this.#tracked.get(limit.incarnation)?.bucket?.assignPart(
        assignment.part,
        now,
      );
    }
  }

  /**
   * Records a limit that a backend server announced, unless a later one is
   * known.
   */
  #record(limit: NamedLimit, how: "heard" | "told"): void {
    const { incarnation, perSecond, announcedAt } = limit;
    const known = this.#tracked.get(incarnation);
    if (known !== undefined && known.limit.announcedAt >= announcedAt) return;
    const isChange = known?.limit.perSecond !== perSecond;
    const bucket = perSecond === undefined ? undefined : known?.bucket ??
      new LimitPartBucket(
        perSecond,
        monotonicMilliseconds(),
        this.#options.random,
      );
    if (bucket !== undefined) bucket.perSecond = perSecond!;
    this.#tracked.set(incarnation, { limit, bucket });
    if (!isChange) return;
    this.#options.log.info("limit-named", {
      incarnation,
      per_second: perSecond ?? "any",
      how,
    });
    this.#publishDemands();
    this.#timer ??= setInterval(
      () => this.#publishDemands(),
      PUBLISH_INTERVAL_MILLISECONDS,
    );
  }

  /**
   * Publishes the demands that are due, and stops the timer once no limit is
   * left.
   */
  #publishDemands(): void {
    const now = monotonicMilliseconds();
    for (const [incarnation, { limit, bucket }] of [...this.#tracked]) {
      const isOver = bucket === undefined &&
        now - limit.announcedAt > ENDED_LIMIT_RETENTION_MILLISECONDS;
      if (isOver) this.#tracked.delete(incarnation);
    }
    if (this.#tracked.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
      return;
    }
    const trackedDemands = [...this.#tracked]
      .filter(([, { limit, bucket }]) =>
        bucket !== undefined ||
        now - limit.announcedAt < END_NOTICE_MILLISECONDS
      )
      .map(([incarnation, { limit, bucket }]) => ({
        key: `${incarnation} ${limit.perSecond ?? "any"}`,
        value: bucket?.demandPerSecond(now) ?? 0,
        limit,
      }));
    const demands = this.#due.select(trackedDemands, now)
      .map(({ limit, value }) => ({
        ...encodeLimit(limit, now),
        host: this.#options.host,
        wantedPerSecond: value,
      }));
    if (demands.length === 0) return;
    this.#options.publish(create(LimitNewsSchema, { demands }));
  }

  /** Drops the limits of incarnations that have ended. */
  #dropEndedIncarnations(changed: BackendAnnouncement[]): void {
    if (this.#tracked.size === 0) return;
    for (const announcement of changed) {
      const live = incarnationOf(announcement);
      for (const incarnation of [...this.#tracked.keys()]) {
        const isSame = incarnation.startsWith(`${announcement.instance}@`);
        const hasEnded = announcement.state === "gone" || incarnation !== live;
        if (isSame && hasEnded) this.#tracked.delete(incarnation);
      }
    }
  }
}
