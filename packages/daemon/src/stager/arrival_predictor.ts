import { isNearlyHeld } from "@teaselrouter/core/rollout/is_nearly_held.ts";
import type { WeightsCache } from "../spread/weights_cache.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** How a version's chunks arrive at this host. */
export class ChunkArrival {
  #cache: WeightsCache;
  #version = "";
  #count = 0;
  /** Since when so many are here. */
  #countSince = 0;

  constructor(cache: WeightsCache) {
    this.#cache = cache;
  }

  /**
   * Whether the rest is expected by the time an engine has run empty; asked
   * again and again while chunks arrive.
   *
   * @param since when the version was heard of, monotonic milliseconds.
   */
  isNearlyHeld(version: string, since: number): boolean {
    const held = this.#cache.held(version);
    if (held === undefined) return false;
    const now = monotonicMilliseconds();
    if (version !== this.#version || held.count !== this.#count) {
      this.#version = version;
      this.#count = held.count;
      this.#countSince = now;
    }
    return isNearlyHeld({
      held: held.count,
      total: held.total,
      elapsedMilliseconds: now - since,
      quietMilliseconds: now - this.#countSince,
    });
  }
}
