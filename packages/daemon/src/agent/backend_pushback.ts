import { ServerPushback } from "@teaselrouter/core/pushback/server_pushback.ts";
import { Subject } from "rxjs";
import { parseFlag } from "../http/parse_flag.ts";
import { parseRetryAfter } from "../http/parse_retry_after.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Only with this status does Retry-After concern all further calls. */
const SERVICE_UNAVAILABLE_STATUS = 503;
/**
 * Response header with which a backend server announces its shutdown; its value
 * is 1.
 */
const SHUTDOWN_HEADER = "teaselrouter-shutdown";

/** By then another backend server, or the next start of this one, takes calls. */
const SHUTDOWN_RETRY_MILLISECONDS = 1_000;

type PushbackChange =
  | { kind: "paused"; milliseconds: number }
  | { kind: "shutting-down" }
  | { kind: "ended" }
  | { kind: "unreadable"; fields: string };

/** `rawHeaders`: name, value, name, value. */
type AnswerHead = { status: number; rawHeaders: readonly string[] };

type Refusal = { reason: string; retryAfterMilliseconds: number };

/**
 * What the backend server on this host asks for in its answers: no calls for
 * some time, or none any more.
 */
export class BackendPushback {
  readonly changes$ = new Subject<PushbackChange>();
  #pushback = new ServerPushback(Math.random);
  #endTimer: NodeJS.Timeout | undefined;
  #hasLoggedUnreadable = false;

  stop(): void {
    clearTimeout(this.#endTimer);
  }

  /** Forgets what was asked for, as the process that asked for it has ended. */
  reset(): void {
    const wasClosed = this.#pushback.isClosed(monotonicMilliseconds());
    clearTimeout(this.#endTimer);
    this.#pushback = new ServerPushback(Math.random);
    this.#hasLoggedUnreadable = false;
    if (wasClosed) this.changes$.next({ kind: "ended" });
  }

  /**
   * Records what an answer asks for. Returns whether the backend server rejected
   * the call: it has not run.
   */
  recordAnswer({ status, rawHeaders }: AnswerHead): boolean {
    const shutdown = parseFlag(rawHeaders, SHUTDOWN_HEADER);
    this.#tellUnreadable(shutdown.unreadable);
    if (shutdown.isSet) this.#recordShutdown();
    if (status !== SERVICE_UNAVAILABLE_STATUS) return false;
    const { milliseconds, unreadable } = parseRetryAfter(rawHeaders);
    this.#tellUnreadable(unreadable);
    if (milliseconds === undefined) return false;
    this.#recordPause(milliseconds);
    return true;
  }

  /** Why no call may be sent now; undefined if one may. */
  get refusal(): Refusal | undefined {
    const now = monotonicMilliseconds();
    if (this.#pushback.admits(now)) return undefined;
    return this.closedRefusal ?? {
      reason: "paused",
      retryAfterMilliseconds: this.#pushback.millisecondsUntilOpen(now),
    };
  }

  /**
   * Why the backend server accepts no calls at all now; undefined if it takes
   * some, as in its recovery after a pause.
   */
  get closedRefusal(): Refusal | undefined {
    const now = monotonicMilliseconds();
    if (!this.#pushback.isClosed(now)) return undefined;
    const wait = this.#pushback.millisecondsUntilOpen(now);
    return wait === Infinity
      ? {
        reason: "shutting-down",
        retryAfterMilliseconds: SHUTDOWN_RETRY_MILLISECONDS,
      }
      : { reason: "paused", retryAfterMilliseconds: Math.ceil(wait) };
  }

  /** Until the end of a pause; 0 without one. */
  get pauseMilliseconds(): number {
    const refusal = this.closedRefusal;
    return refusal?.reason === "paused" ? refusal.retryAfterMilliseconds : 0;
  }

  get isShuttingDown(): boolean {
    return this.#pushback.isShuttingDown(monotonicMilliseconds());
  }

  /** See `ServerPushback.countSend`. */
  countSend(slots: number): (isAnswered: boolean) => void {
    return this.#pushback.countSend(slots, monotonicMilliseconds());
  }

  #tellUnreadable(fields: string | undefined): void {
    if (fields === undefined || this.#hasLoggedUnreadable) return;
    this.#hasLoggedUnreadable = true;
    this.changes$.next({ kind: "unreadable", fields });
  }

  #recordPause(milliseconds: number | "unreadable"): void {
    const now = monotonicMilliseconds();
    const change = this.#pushback.requestPause(milliseconds, now);
    if (change === "unchanged") return;
    this.#watchEnd();
    if (this.isShuttingDown) return;
    const wait = this.pauseMilliseconds;
    this.changes$.next({ kind: "paused", milliseconds: wait });
  }

  #recordShutdown(): void {
    const change = this.#pushback.announceShutdown(monotonicMilliseconds());
    if (change === "unchanged") return;
    this.#watchEnd();
    this.changes$.next({ kind: "shutting-down" });
  }

  /** Tells the end once it is reached; answers may move it meanwhile. */
  #watchEnd(): void {
    clearTimeout(this.#endTimer);
    const left = this.#pushback.millisecondsClosed(monotonicMilliseconds());
    if (left === 0) return this.changes$.next({ kind: "ended" });
    this.#endTimer = setTimeout(() => this.#watchEnd(), Math.ceil(left));
  }
}
