/** How often it is looked: a fraction of the time that counts as silence. */
const LOOK_MILLISECONDS = 200;

type Watched = {
  /** Whether the backend server has stopped answering altogether. */
  isSilent: () => boolean;
  /** Whether the request would be sent on if this attempt were given up. */
  mayGoElsewhere: () => boolean;
  giveUp: () => void;
};

/**
 * Gives attempts up when their backend server falls silent and the request
 * can go on elsewhere. Where it can't, silence is no reason to end it. One
 * timer looks at all: a timer each would wake the process for every request
 * under way.
 */
export class SilenceWatch {
  #watched = new Set<Watched>();
  #timer: NodeJS.Timeout | undefined;

  /** @returns ends the watch. */
  watch(watched: Watched): () => void {
    this.#watched.add(watched);
    this.#timer ??= setInterval(() => this.#look(), LOOK_MILLISECONDS);
    return () => this.#leave(watched);
  }

  #look(): void {
    for (const watched of [...this.#watched]) {
      if (!watched.isSilent() || !watched.mayGoElsewhere()) continue;
      this.#leave(watched);
      watched.giveUp();
    }
  }

  #leave(watched: Watched): void {
    this.#watched.delete(watched);
    if (this.#watched.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
