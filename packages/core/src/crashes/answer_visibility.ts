/**
 * From the start of a host until answers on its requests can have survived, if
 * none is heard of before.
 */
const FIRST_ANSWERS_MILLISECONDS = 1_500;
/** Two heartbeats of a host that sees answers. */
const MAX_SILENCE_MILLISECONDS = 2_000;

/** While most servers are gone, an answer shows for so long that some are there. */
const ANSWER_MILLISECONDS = 500;
/** Older times in which nobody answered are forgotten. */
const MAX_PAUSES = 64;

/** A host that sees answers; times in monotonic milliseconds. */
type Watcher = { since: number; heardAt: number };

/**
 * Measures for how long an answer that survives would have been seen: at least
 * one host that sees answers is there, and either most servers are, or some
 * answer has just survived. Load pattern: hosts are killed, freeze or lose power
 * without a word, or most servers are gone, and no answer that survives is heard
 * of.
 */
export class AnswerVisibility {
  #watchers = new Set<Watcher>();
  #isServing = true;
  /** While most servers are gone: until when some are known to answer. */
  #answeredUntil = -Infinity;
  /** When nobody could answer, oldest first; `to` is Infinity while nobody can. */
  #pauses: { from: number; to: number }[] = [];

  /** `startedAt` is when the host's process started, monotonic milliseconds. */
  join(startedAt: number, now: number): Watcher {
    const since = startedAt + FIRST_ANSWERS_MILLISECONDS;
    const watcher = { since, heardAt: now };
    this.#watchers.add(watcher);
    return watcher;
  }

  leave(watcher: Watcher): void {
    this.#watchers.delete(watcher);
  }

  /** The host is there. Who was silent for long may not have seen answers. */
  hear(watcher: Watcher, now: number): void {
    if (isSilent(watcher, now)) watcher.since = now;
    watcher.heardAt = now;
  }

  /** The host has told of an answer that survived, on whatever part. */
  recordSurvival(watcher: Watcher, begunAt: number, now: number): void {
    this.hear(watcher, now);
    watcher.since = Math.min(watcher.since, now);
    const pause = this.#pauses.at(-1);
    if (pause === undefined || begunAt <= pause.from) return;
    this.#resume(now);
    this.#answeredUntil = now + ANSWER_MILLISECONDS;
  }

  /** Records whether most servers are there. */
  recordServing(isServing: boolean, now: number): void {
    const wasServing = this.#isServing;
    this.#isServing = isServing;
    if (isServing) return this.#resume(now);
    if (wasServing) return this.#pause(now);
    const isPaused = this.#pauses.at(-1)?.to === Infinity;
    if (!isPaused && now > this.#answeredUntil) {
      this.#pause(this.#answeredUntil);
    }
  }

  #pause(from: number): void {
    this.#pauses.push({ from, to: Infinity });
    if (this.#pauses.length > MAX_PAUSES) this.#pauses.shift();
  }

  #resume(now: number): void {
    const pause = this.#pauses.at(-1);
    if (pause !== undefined) pause.to = Math.min(pause.to, now);
  }

  /**
   * How long answers have been seen since a time, in milliseconds until now and
   * until the latest word of a host that was there all the while.
   */
  measure(
    from: number,
    now: number,
  ): { untilNow: number; untilHeard: number } {
    const present = [...this.#watchers]
      .filter((watcher) => !isSilent(watcher, now));
    const start = Math.max(
      from,
      Math.min(...present.map(({ since }) => since)),
    );
    const heardAt = Math.max(
      ...present.filter(({ since }) => since <= start)
        .map(({ heardAt }) => heardAt),
    );
    return {
      untilNow: this.#measureAnswering(start, now),
      untilHeard: this.#measureAnswering(start, heardAt),
    };
  }

  #measureAnswering(from: number, to: number): number {
    return this.#pauses.reduce(
      (rest, pause) =>
        rest -
        Math.max(0, Math.min(pause.to, to) - Math.max(pause.from, from)),
      to - from,
    );
  }
}

function isSilent({ heardAt }: Watcher, now: number): boolean {
  return now - heardAt > MAX_SILENCE_MILLISECONDS;
}
