import { LimitPartBucket } from "@teaselrouter/core/named_limits/limit_part_bucket.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * Calls reach a backend server only through its agent, so the agent has the
 * whole limit.
 */
const WHOLE_LIMIT = 1;

/** Enforces the requests per second that a backend server says it accepts. */
export class BackendRateLimiter {
  #bucket: LimitPartBucket | undefined;

  /** To be called with each answer; undefined if the answer names no limit. */
  setLimit(perSecond: number | undefined): void {
    if (perSecond === undefined) this.#bucket = undefined;
    else if (this.#bucket !== undefined) this.#bucket.perSecond = perSecond;
    else {
      this.#bucket = new LimitPartBucket(
        perSecond,
        monotonicMilliseconds(),
        Math.random,
      );
    }
  }

  /**
   * Requests admission of one call to the backend server.
   *
   * @returns 0 if the call is admitted, and counted; otherwise milliseconds
   * until there is capacity, at least 1.
   */
  admit(): number {
    const now = monotonicMilliseconds();
    const bucket = this.#bucket;
    if (bucket === undefined) return 0;
    bucket.assignPart(WHOLE_LIMIT, now);
    bucket.recordDemand(now);
    if (!bucket.admit(now)) {
      return Math.max(1, bucket.millisecondsUntilCapacity(now));
    }
    bucket.take(now);
    return 0;
  }

  /** Discards the limit, as the backend server that named it has ended. */
  reset(): void {
    this.#bucket = undefined;
  }
}
