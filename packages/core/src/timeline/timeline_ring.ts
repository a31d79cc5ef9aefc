import { HybridClock } from "./hybrid_clock.ts";
import type { HybridTime } from "./hybrid_time.ts";

type RingEvent = HybridTime & {
  process: string;
  kind: string;
  detail: string;
};

/**
 * Keeps the latest events of one process, each with a hybrid clock's stamp.
 * Holds fewer than twice `capacity` events; returns at most `capacity`.
 */
export class TimelineRing {
  #process: string;
  #capacity: number;
  #events: RingEvent[] = [];
  #clock = new HybridClock();

  constructor(process: string, capacity: number) {
    this.#process = process;
    this.#capacity = capacity;
  }

  /**
   * Records an event.
   *
   * @param wallTime Unix milliseconds, as in all methods.
   */
  record(wallTime: number, kind: string, detail: string): void {
    const stamp = this.#clock.stamp(wallTime);
    this.#events.push({ ...stamp, process: this.#process, kind, detail });
    if (this.#events.length >= this.#capacity * 2) {
      this.#events = this.#events.slice(-this.#capacity);
    }
  }

  /**
   * Advances the clock past a stamp received with a message, so that later
   * events are stamped after their cause.
   */
  observe(wallTime: number, received: HybridTime): void {
    this.#clock.observe(wallTime, received);
  }

  /** Advances the clock and returns a stamp to send with a message. */
  stampMessage(wallTime: number): HybridTime {
    return this.#clock.stamp(wallTime);
  }

  /** Events at or after `time`, oldest first, at most `capacity`. */
  eventsSince(time: number): RingEvent[] {
    return this.#events
      .filter((event) => event.time >= time)
      .slice(-this.#capacity);
  }
}
