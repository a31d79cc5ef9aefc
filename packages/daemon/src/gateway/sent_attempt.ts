import type { BackendCandidate } from "@teaselrouter/core/gateway/backend_candidate.ts";
import type { RoomUse } from "@teaselrouter/core/room/room_use.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { AnswerWatch } from "../http/answer_watch.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { BackendAttempt } from "./backend_attempt.ts";

type Options = {
  candidate: BackendCandidate;
  attempt: BackendAttempt;
  sentAt: number;
  isRetry: boolean;
  outcome: Promise<AttemptOutcome>;
  /** Undefined where the backend servers' room isn't divided. */
  use?: RoomUse;
  /** Called when this host aborts what the backend server may be running. */
  onGivenUp: (sent: SentAttempt) => void;
};

/** An attempt that a backend server's record counts until it has ended. */
export class SentAttempt {
  readonly candidate: BackendCandidate;
  /** When the attempt began, monotonic milliseconds. */
  readonly sentAt: number;
  /** Whether it took a retry from the budget. */
  readonly isRetry: boolean;
  /**
   * Settles once; never rejects. After an answer the attempt goes on until
   * `end` is called.
   */
  readonly outcome: Promise<AttemptOutcome>;
  /** Whether another backend server has taken over. */
  isReplaced = false;
  /** When the head of its answer arrived, monotonic milliseconds. */
  headAt: number | undefined;
  #onGivenUp: Options["onGivenUp"];
  #attempt: BackendAttempt;
  #use: RoomUse | undefined;
  #hasEnded = false;
  #isUnread = false;
  #hasEvents = false;

  constructor(
    { candidate, attempt, sentAt, isRetry, outcome, use, onGivenUp }: Options,
  ) {
    this.#onGivenUp = onGivenUp;
    this.candidate = candidate;
    this.#attempt = attempt;
    this.sentAt = sentAt;
    this.isRetry = isRetry;
    this.outcome = outcome;
    this.#use = use;
  }

  /**
   * Whether a byte of the request may have reached the backend server.
   */
  get isSent(): boolean {
    return this.#attempt.isSent;
  }

  /** When its first byte was sent, or else when it began. */
  get firstByteAt(): number {
    return this.#attempt.sentAt ?? this.sentAt;
  }

  /** See `BackendAttempt.toldMilliseconds`. */
  get toldMilliseconds(): number | undefined {
    return this.#attempt.toldMilliseconds;
  }

  /** Follows its answer. */
  get answer(): AnswerWatch {
    return this.#attempt.answer;
  }

  /** Whether this host, not the backend server, ended the attempt. */
  get isAborted(): boolean {
    return this.#attempt.isAborted;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Closes the attempt's connection, unless the attempt has ended. */
  abort(reason: string): void {
    if (this.#hasEnded) return;
    if (this.isSent && !this.isAborted) this.#onGivenUp(this);
    this.#attempt.abort(reason);
  }

  /** The answer isn't read for a while: its client reads more slowly. */
  pauseReading(): void {
    if (this.#hasEnded || this.#isUnread) return;
    this.#isUnread = true;
    this.candidate.record.pauseReading();
  }

  resumeReading(): void {
    if (!this.#isUnread) return;
    this.#isUnread = false;
    this.candidate.record.resumeReading(monotonicMilliseconds());
  }

  /** Records for how long its complete answer held a slot. */
  recordSlotHoldTime(milliseconds: number): void {
    this.candidate.record.recordSlotHoldTime(milliseconds);
    this.#use?.recordHold(milliseconds);
  }

  /** The events of its answer arrive from now on. */
  beginEvents(now: number): void {
    if (this.#hasEnded || this.#hasEvents) return;
    this.#hasEvents = true;
    this.candidate.record.beginEvents(now);
  }

  /** The backend server's record no longer counts the attempt. */
  end(): void {
    if (this.#hasEnded) return;
    this.resumeReading();
    this.#hasEnded = true;
    this.candidate.record.inFlight -= 1;
    this.#use?.end();
    if (this.#hasEvents) this.candidate.record.endEvents();
  }
}
