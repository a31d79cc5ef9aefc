import type { PushbackChange } from "./pushback_change.ts";

/**
 * Longest pause that one answer can bring about. A backend server that needs
 * longer asks again when it rejects the next request.
 */
const MAX_PAUSE_MILLISECONDS = 300_000;
/**
 * Pause after an answer that asks for one but doesn't say for how long in a
 * readable form.
 */
const UNREADABLE_PAUSE_MILLISECONDS = 1_000;
/**
 * A pause ends up to this share of its length later than asked, at random, so
 * that hosts that were rejected together don't all return together.
 */
const END_SPREAD_SHARE = 0.25;
const MAX_END_SPREAD_MILLISECONDS = 2_000;
/**
 * How long an announced shutdown keeps requests away. A process that is still
 * there then gets requests again, and may repeat the announcement.
 */
const MAX_SHUTDOWN_MILLISECONDS = 900_000;
/** An end of a pause that moves by less is no change worth a log line. */
const EXTENSION_MILLISECONDS = 250;
/** Wait for a request while those already sent after the pause are unanswered. */
const RECOVERY_RETRY_MILLISECONDS = 250;
/** Later than this after a pause, hosts no longer return together. */
const MAX_RECOVERY_MILLISECONDS = 10_000;

/**
 * What one start of one backend server asks of this host: no requests during a
 * pause, or none any more because it is shutting down.
 *
 * Answers the load pattern of a backend server that rejects requests faster
 * than it would serve them. It has nothing in flight, therefore looks idle, and
 * attracts the requests of every host. And once a pause is over, all hosts would
 * return at the same moment and overload it again: after a pause it gets one
 * request, and twice as many with each answer.
 *
 * A pause never ends sooner because of a later answer. Answers overtake each
 * other, so the one received last need not be the one sent last.
 */
export class ServerPushback {
  #random: () => number;
  #pauseEndsAt = -Infinity;
  #shutdownEndsAt = -Infinity;
  /** Most unanswered requests while recovering. */
  #recoveryLimit = Infinity;
  #unanswered = 0;

  /** @param random uniform in [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

  /**
   * Records an answer that asks for a pause of so many milliseconds, from 0 up.
   */
  requestPause(
    milliseconds: number | "unreadable",
    now: number,
  ): PushbackChange {
    const pause = Math.min(
      milliseconds === "unreadable"
        ? UNREADABLE_PAUSE_MILLISECONDS
        : milliseconds,
      MAX_PAUSE_MILLISECONDS,
    );
    if (pause === 0) return "unchanged";
    const before = this.#pauseEndsAt;
    const wasPaused = this.isPaused(now);
    const spread = Math.min(
      pause * END_SPREAD_SHARE,
      MAX_END_SPREAD_MILLISECONDS,
    );
    const endsAt = now + pause + spread * this.#random();
    this.#pauseEndsAt = Math.max(before, endsAt);
    this.#recoveryLimit = 1;
    if (!wasPaused) return "began";
    return endsAt > before + EXTENSION_MILLISECONDS ? "extended" : "unchanged";
  }

  /** Records an answer that says that the backend server is shutting down. */
  announceShutdown(now: number): PushbackChange {
    const wasKnown = this.isShuttingDown(now);
    this.#shutdownEndsAt = now + MAX_SHUTDOWN_MILLISECONDS;
    this.#recoveryLimit = 1;
    return wasKnown ? "unchanged" : "began";
  }

  isPaused(now: number): boolean {
    return now < this.#pauseEndsAt;
  }

  isShuttingDown(now: number): boolean {
    return now < this.#shutdownEndsAt;
  }

  /** Whether the backend server is paused or shutting down. */
  isClosed(now: number): boolean {
    return now < this.#endsAt;
  }

  /** Until the backend server takes requests again; 0 if it takes some now. */
  millisecondsClosed(now: number): number {
    return Math.max(0, this.#endsAt - now);
  }

  /** Whether a request may be sent now. */
  admits(now: number): boolean {
    if (this.isClosed(now)) return false;
    return !this.#isRecovering(now) || this.#unanswered < this.#recoveryLimit;
  }

  /**
   * Milliseconds until a request may be sent; 0 if it may be sent now, Infinity
   * if the backend server is shutting down.
   */
  millisecondsUntilOpen(now: number): number {
    if (this.isShuttingDown(now)) return Infinity;
    if (this.isPaused(now)) return this.#pauseEndsAt - now;
    return this.admits(now) ? 0 : RECOVERY_RETRY_MILLISECONDS;
  }

  /**
   * Counts a request that is sent now. The returned function is to be called
   * once, when the attempt has an answer or has failed.
   *
   * @param slots requests that the backend server processes concurrently.
   */
  countSend(slots: number, now: number): (isAnswered: boolean) => void {
    if (!this.#isRecovering(now)) return () => undefined;
    const endsAt = this.#endsAt;
    this.#unanswered += 1;
    return (isAnswered) => {
      this.#unanswered -= 1;
      // A later pause starts the recovery anew.
      if (!isAnswered || endsAt !== this.#endsAt) return;
      this.#recoveryLimit *= 2;
      if (this.#recoveryLimit >= slots) this.#recoveryLimit = Infinity;
    };
  }

  /** Whether nothing is left that keeps a request away. */
  isOver(now: number): boolean {
    return !this.isClosed(now) && this.#unanswered === 0 &&
      !this.#isRecovering(now);
  }

  get #endsAt(): number {
    return Math.max(this.#pauseEndsAt, this.#shutdownEndsAt);
  }

  #isRecovering(now: number): boolean {
    const sinceEnd = now - this.#endsAt;
    return this.#recoveryLimit !== Infinity && sinceEnd >= 0 &&
      sinceEnd < MAX_RECOVERY_MILLISECONDS;
  }
}
