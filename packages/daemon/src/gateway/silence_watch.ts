import type { ListeningTime } from "@teaselrouter/core/gateway/listening_time.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** Interval of the checks: a fraction of the time that counts as silence. */
const CHECK_INTERVAL_MILLISECONDS = 200;

type WatchedAttempt = {
  /** Whether the backend server has stopped answering altogether. */
  isSilent: () => boolean;
  /** Called at each check while the attempt's backend server is silent. */
  onSilence: () => void;
};

/**
 * Reports attempts whose backend server has fallen silent. One timer checks all
 * of them: one each would wake the process for every request in flight.
 */
export class SilenceWatch {
  #listening: ListeningTime;
  #watched = new Set<WatchedAttempt>();
  #timer: NodeJS.Timeout | undefined;

  constructor(listening: ListeningTime) {
    this.#listening = listening;
  }

  /** @returns a function that ends the watch. */
  watch(watched: WatchedAttempt): () => void {
    this.#watched.add(watched);
    this.#timer ??= this.#start();
    return () => this.#remove(watched);
  }

  #start(): NodeJS.Timeout {
    this.#listening.observe(monotonicMilliseconds());
    return setInterval(() => this.#check(), CHECK_INTERVAL_MILLISECONDS);
  }

  #check(): void {
    this.#listening.observe(monotonicMilliseconds());
    // What arrived while this process was busy is read before the immediate.
    setImmediate(() => {
      for (const watched of [...this.#watched]) {
        if (!this.#watched.has(watched) || !watched.isSilent()) continue;
        watched.onSilence();
      }
    });
  }

  #remove(watched: WatchedAttempt): void {
    this.#watched.delete(watched);
    if (this.#watched.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
    this.#listening.suspend();
  }
}
