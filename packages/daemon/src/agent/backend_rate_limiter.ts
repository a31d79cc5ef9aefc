import { LimitPart } from "@teaselrouter/core/named_limits/limit_part.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** An agent is the only way to its backend server: it has the whole limit. */
const WHOLE = 1;

/** Keeps to the requests a second that a backend server says it takes. */
export class AgentLimit {
  #part: LimitPart | undefined;

  /** With each answer; undefined where it names no limit. */
  hear(perSecond: number | undefined): void {
    if (perSecond === undefined) this.#part = undefined;
    else if (this.#part !== undefined) this.#part.perSecond = perSecond;
    else {this.#part = new LimitPart(
        perSecond,
        monotonicMilliseconds(),
        Math.random,
      );}
  }

  /** A call is to run there: 0, or when there is room, milliseconds. */
  take(): number {
    const now = monotonicMilliseconds();
    const part = this.#part;
    if (part === undefined) return 0;
    part.tell(WHOLE, now);
    part.want(now);
    if (!part.admits(now)) return Math.max(1, part.untilRoom(now));
    part.take(now);
    return 0;
  }

  /** What it named is forgotten with its end. */
  reset(): void {
    this.#part = undefined;
  }
}
