import { HybridClock } from "./hybrid_clock.ts";
import type { HybridTime } from "./hybrid_time.ts";

type RingEvent = HybridTime & {
  process: string;
  kind: string;
  detail: string;
};

/** A process's latest events, bounded. */
export class TimelineRing {
  #process: string;
  #capacity: number;
  #events: RingEvent[] = [];
  #clock = new HybridClock();

  constructor(process: string, capacity: number) {
    this.#process = process;
    this.#capacity = capacity;
  }

  record(wallTime: number, kind: string, detail: string): void {
    const stamp = this.#clock.stamp(wallTime);
    this.#events.push({ ...stamp, process: this.#process, kind, detail });
    if (this.#events.length >= this.#capacity * 2) {
      this.#events = this.#events.slice(-this.#capacity);
    }
  }

  /** Takes in a stamp that came with a message, to stay behind no cause. */
  observe(wallTime: number, received: HybridTime): void {
    this.#clock.observe(wallTime, received);
  }

  now(wallTime: number): HybridTime {
    return this.#clock.stamp(wallTime);
  }

  /** Events since `time`, oldest first, at most the ring's capacity. */
  since(time: number): RingEvent[] {
    return this.#events
      .filter((event) => event.time >= time)
      .slice(-this.#capacity);
  }
}
