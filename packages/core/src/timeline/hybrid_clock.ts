import type { HybridTime } from "./hybrid_time.ts";

/**
 * A hybrid logical clock: near to wall time, and never behind what caused
 * the event, however far the hosts' clocks are apart.
 */
export class HybridClock {
  #latest: HybridTime = { time: 0, counter: 0 };

  /** Stamps a local event. */
  stamp(wallTime: number): HybridTime {
    return this.#advance(wallTime, this.#latest);
  }

  /** Takes in a stamp that came with a message. */
  observe(wallTime: number, received: HybridTime): HybridTime {
    const ahead = received.time > this.#latest.time ||
      (received.time === this.#latest.time &&
        received.counter > this.#latest.counter);
    return this.#advance(wallTime, ahead ? received : this.#latest);
  }

  #advance(wallTime: number, floor: HybridTime): HybridTime {
    this.#latest = wallTime > floor.time
      ? { time: wallTime, counter: 0 }
      : { time: floor.time, counter: floor.counter + 1 };
    return this.#latest;
  }
}
