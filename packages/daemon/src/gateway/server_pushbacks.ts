import type { AnswerMetadata } from "@teaselrouter/core/gateway/answer_metadata.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { incarnationOf } from "@teaselrouter/core/membership/incarnation_of.ts";
import { PushbackTable } from "@teaselrouter/core/pushback/pushback_table.ts";
import type { ServerPushback } from "@teaselrouter/core/pushback/server_pushback.ts";
import type { Observable } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Incarnations remembered as logged for an unreadable field. */
const MAX_REMEMBERED_INCARNATIONS = 1_000;

/** A service of hundreds of servers would make a line of tens of kilobytes. */
const MAX_LOGGED_SERVERS = 8;

type Options = {
  log: EventLog;
  /** Uniform in [0, 1). */
  random: () => number;
  /** Emits backend servers that must get nothing more. */
  evacuated$?: Observable<BackendAnnouncement[]>;
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
  /** Of requests that are not sent yet, by incarnation of their server. */
  #withdrawals = new Map<string, Set<() => void>>();
  /** Incarnations with an unreadable field, so that each is logged once. */
  #unreadable = new Set<string>();

  constructor(options: Options) {
    this.#options = options;
    this.#table = new PushbackTable(options.random);
    options.evacuated$?.subscribe((servers) => {
      for (const server of servers) this.#withdraw(incarnationOf(server));
    });
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

  /** Whether a request may be sent to the backend server now. */
  admits(announcement: BackendAnnouncement): boolean {
    const pushback = this.#find(announcement);
    return pushback === undefined || pushback.admits(monotonicMilliseconds());
  }

  /** Whether this host must not contact the backend server at all now. */
  isClosed(announcement: BackendAnnouncement): boolean {
    return this.#find(announcement)?.isClosed(monotonicMilliseconds()) ??
      false;
  }

  /** Whether the backend server's end is to be expected. */
  isShuttingDown(announcement: BackendAnnouncement): boolean {
    return this.#find(announcement)?.isShuttingDown(monotonicMilliseconds()) ??
      false;
  }

  /**
   * Milliseconds until a request may be sent; 0 if it may be sent now, Infinity
   * if the backend server is shutting down.
   */
  millisecondsUntilOpen(announcement: BackendAnnouncement): number {
    return this.#find(announcement)?.millisecondsUntilOpen(
      monotonicMilliseconds(),
    ) ?? 0;
  }

  /**
   * Counts a request that is about to be sent. The returned function is to be
   * called once, when the attempt has an answer or has failed.
   */
  countSend(
    announcement: BackendAnnouncement,
  ): (isAnswered: boolean) => void {
    return this.#find(announcement)?.countSend(
      announcement.slots,
      monotonicMilliseconds(),
    ) ?? ignoreAnswer;
  }

  /**
   * Registers `withdraw`, to be called when the backend server asks for a pause,
   * announces its shutdown or is evacuated. The returned function removes it.
   */
  onClosed(
    announcement: BackendAnnouncement,
    withdraw: () => void,
  ): () => void {
    const incarnation = incarnationOf(announcement);
    let withdrawals = this.#withdrawals.get(incarnation);
    if (withdrawals === undefined) {
      withdrawals = new Set();
      this.#withdrawals.set(incarnation, withdrawals);
    }
    withdrawals.add(withdraw);
    return () => {
      withdrawals.delete(withdraw);
      const isLast = withdrawals.size === 0 &&
        this.#withdrawals.get(incarnation) === withdrawals;
      if (isLast) this.#withdrawals.delete(incarnation);
    };
  }

  /**
   * Logs how many backend servers a refused request was kept away from, and of
   * the first few which and why.
   */
  logRefusal(id: string, kept: readonly BackendAnnouncement[]): void {
    const now = monotonicMilliseconds();
    const servers = kept.slice(0, MAX_LOGGED_SERVERS).map((announcement) => {
      const incarnation = incarnationOf(announcement);
      const source = this.#sources.get(incarnation);
      const left = this.millisecondsUntilOpen(announcement);
      const askedAgo = source && Math.round(now - source.askedAt);
      return `${incarnation}:left:${Math.round(left)}:asked-ago:${askedAgo}` +
        `:by:${source?.id}`;
    });
    this.#options.log.info("paused-servers-refused", {
      id,
      count: kept.length,
      servers: servers.join(","),
    });
  }

  /** Logs the pushbacks that have ended, and forgets them. */
  expire(): void {
    const now = monotonicMilliseconds();
    for (const [incarnation, source] of [...this.#sources]) {
      const pushback = this.#table.find(incarnation);
      if (pushback?.isClosed(now)) continue;
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
    this.#withdrawIfClosed(incarnation);
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
    const change = pushback.announceShutdown(now);
    this.#withdrawIfClosed(incarnation);
    if (change === "unchanged") return;
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

  #withdrawIfClosed(incarnation: string): void {
    const pushback = this.#table.find(incarnation);
    if (pushback?.isClosed(monotonicMilliseconds())) {
      this.#withdraw(incarnation);
    }
  }

  #withdraw(incarnation: string): void {
    for (const withdraw of [...this.#withdrawals.get(incarnation) ?? []]) {
      withdraw();
    }
  }

  #find(announcement: BackendAnnouncement): ServerPushback | undefined {
    if (this.#table.isEmpty) return undefined;
    return this.#table.find(incarnationOf(announcement));
  }

  #logUnreadable(
    announcement: BackendAnnouncement,
    fields: readonly string[],
  ): void {
    const incarnation = incarnationOf(announcement);
    if (this.#unreadable.has(incarnation)) return;
    if (this.#unreadable.size >= MAX_REMEMBERED_INCARNATIONS) {
      this.#unreadable.clear();
    }
    this.#unreadable.add(incarnation);
    this.#options.log.warn("answer-field-unreadable", {
      incarnation,
      fields: fields.join(" "),
    });
  }
}

function ignoreAnswer(): void {}
