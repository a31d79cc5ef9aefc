/** Interval of the checks: a fraction of the time that counts as silence. */
const CHECK_INTERVAL_MILLISECONDS = 200;

type WatchedAttempt = {
  /** Whether the backend server has stopped answering altogether. */
  isSilent: () => boolean;
  /**
   * Whether the request would be sent elsewhere if this attempt were aborted.
   */
  canFailOver: () => boolean;
  abort: () => void;
};

/**
 * Aborts attempts whose backend server has fallen silent, if the request can be
 * sent elsewhere; otherwise silence is no reason to end it. One timer checks
 * all attempts: one each would wake the process for every request in flight.
 */
export class SilenceWatch {
  #watched = new Set<WatchedAttempt>();
  #timer: NodeJS.Timeout | undefined;

  /** @returns a function that ends the watch. */
  watch(watched: WatchedAttempt): () => void {
    this.#watched.add(watched);
    this.#timer ??= setInterval(
      () => this.#abortSilent(),
      CHECK_INTERVAL_MILLISECONDS,
    );
    return () => this.#remove(watched);
  }

  #abortSilent(): void {
    for (const watched of [...this.#watched]) {
      if (!watched.isSilent() || !watched.canFailOver()) continue;
      this.#remove(watched);
      watched.abort();
    }
  }

  #remove(watched: WatchedAttempt): void {
    this.#watched.delete(watched);
    if (this.#watched.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
