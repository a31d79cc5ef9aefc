import type { AnswerMetadata } from "@teaselrouter/core/gateway/answer_metadata.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { incarnationOf } from "@teaselrouter/core/membership/incarnation_of.ts";
import { PushbackTable } from "@teaselrouter/core/pushback/pushback_table.ts";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Incarnations whose unreadable fields were logged and are remembered. */
const MAX_REMEMBERED_UNREADABLE = 1_000;

type Options = {
  log: EventLog;
  /** Uniform in [0, 1). */
  random: () => number;
};

/** Where a pushback comes from, for the log. */
type Source = { askedAt: number; milliseconds: number; id: string };

/**
 * Keeps and logs what backend servers ask of this host in their answers: no
 * requests for some time, or none any more.
 */
export class ServerPushbacks {
  #options: Options;
  #table: PushbackTable;
  #sources = new Map<string, Source>();
  /** Incarnations with an unreadable field, so that each is logged once. */
  #unreadable = new Set<string>();

  constructor(options: Options) {
    this.#options = options;
    this.#table = new PushbackTable(options.random);
  }

  /**
   * Records what an answer asks for.
   *
   * @param id of the request that it answers.
   */
  recordAnswer(
    announcement: BackendAnnouncement,
    metadata: AnswerMetadata,
    id: string,
  ): void {
    const { requestedPause, isShuttingDown, unreadableFields } = metadata;
    if (unreadableFields.length > 0) {
      this.#logUnreadable(announcement, unreadableFields);
    }
    if (requestedPause !== undefined) {
      this.#recordPause(announcement, requestedPause, id);
    }
    if (isShuttingDown) this.#recordShutdown(announcement, id);
  }

  /** Logs the pushbacks that have ended, and forgets them. */
  expire(): void {
    const now = monotonicMilliseconds();
    for (const [incarnation, source] of [...this.#sources]) {
      const pushback = this.#table.find(incarnation);
      const isEnded = pushback === undefined ||
        !pushback.isPaused(now) && !pushback.isShuttingDown(now);
      if (!isEnded) continue;
      this.#sources.delete(incarnation);
      this.#options.log.info("pushback-ended", {
        incarnation,
        milliseconds: source.milliseconds,
        asked_milliseconds_ago: Math.round(now - source.askedAt),
      });
    }
    this.#table.expire(now);
  }

  #recordPause(
    announcement: BackendAnnouncement,
    requestedPause: number | "unreadable",
    id: string,
  ): void {
    const now = monotonicMilliseconds();
    const incarnation = incarnationOf(announcement);
    const pushback = this.#table.open(incarnation);
    const change = pushback.requestPause(requestedPause, now);
    if (change === "unchanged") return;
    const milliseconds = Math.round(pushback.millisecondsUntilOpen(now));
    this.#sources.set(incarnation, { askedAt: now, milliseconds, id });
    this.#options.log.info("pause-requested", {
      id,
      incarnation,
      address: announcement.address,
      change,
      requested_milliseconds: requestedPause,
      milliseconds,
    });
  }

  #recordShutdown(announcement: BackendAnnouncement, id: string): void {
    const now = monotonicMilliseconds();
    const incarnation = incarnationOf(announcement);
    const pushback = this.#table.open(incarnation);
    if (pushback.announceShutdown(now) === "unchanged") return;
    this.#sources.set(incarnation, {
      askedAt: now,
      milliseconds: Infinity,
      id,
    });
    this.#options.log.info("shutdown-announced", {
      id,
      incarnation,
      address: announcement.address,
    });
  }

  #logUnreadable(
    announcement: BackendAnnouncement,
    fields: readonly string[],
  ): void {
    const incarnation = incarnationOf(announcement);
    if (this.#unreadable.has(incarnation)) return;
    if (this.#unreadable.size >= MAX_REMEMBERED_UNREADABLE) {
      this.#unreadable.clear();
    }
    this.#unreadable.add(incarnation);
    this.#options.log.warn("answer-field-unreadable", {
      incarnation,
      fields: fields.join(" "),
    });
  }
}
