import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";

const SILENCE_TIMEOUT_MILLISECONDS = 1_500;
/** Two of the agent's heartbeat intervals. */
const SUSPECT_TIMEOUT_MILLISECONDS = 800;

/**
 * Notices that no frame, not even a heartbeat, arrives for one call on a
 * connection to an agent.
 */
export class SilenceTimer {
  #onSilence: () => void;
  #timeout = SILENCE_TIMEOUT_MILLISECONDS;
  #startedAt = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(onSilence: () => void) {
    this.#onSilence = onSilence;
  }

  /** Begins to wait for the next frame. */
  start(): void {
    this.#startedAt = monotonicMilliseconds();
    this.#timer = setTimeout(this.#onSilence, this.#timeout);
  }

  /** Ends the wait: a frame has arrived, or the call has ended. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Shortens the wait: another call has found the connection silent. */
  suspect(): void {
    this.#timeout = SUSPECT_TIMEOUT_MILLISECONDS;
    if (this.#timer === undefined) return;
    clearTimeout(this.#timer);
    const left = this.#startedAt + this.#timeout - monotonicMilliseconds();
    this.#timer = setTimeout(this.#onSilence, Math.max(0, left));
  }
}
