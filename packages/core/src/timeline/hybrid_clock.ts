import type { HybridTime } from "./hybrid_time.ts";

/**
 * A hybrid logical clock: stays close to wall time, and stamps an event later
 * than the events that caused it, however far the hosts' clocks differ.
 */
export class HybridClock {
  #latest: HybridTime = { time: 0, counter: 0 };

  /**
   * Advances the clock for a local event and returns the event's stamp.
   *
   * @param wallTime Unix milliseconds, as in all methods.
   */
  stamp(wallTime: number): HybridTime {
    return this.#advance(wallTime, this.#latest);
  }

  /** Advances the clock past a stamp received with a message. */
  observe(wallTime: number, received: HybridTime): HybridTime {
    const isReceivedLater = received.time > this.#latest.time ||
      (received.time === this.#latest.time &&
        received.counter > this.#latest.counter);
    return this.#advance(wallTime, isReceivedLater ? received : this.#latest);
  }

  #advance(wallTime: number, lowerBound: HybridTime): HybridTime {
    this.#latest = wallTime > lowerBound.time
      ? { time: wallTime, counter: 0 }
      : { time: lowerBound.time, counter: lowerBound.counter + 1 };
    return this.#latest;
  }
}
