import { isNearlyComplete } from "@teaselrouter/core/rollout/is_nearly_complete.ts";
import type { WeightsCache } from "../spread/weights_cache.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * Predicts from the chunks that have arrived so far whether this host will
 * soon hold a whole version.
 */
export class ArrivalPredictor {
  #cache: WeightsCache;
  #version = "";
  #heldCount = 0;
  /** When the number of held chunks last changed, monotonic milliseconds. */
  #heldCountChangedAt = 0;

  constructor(cache: WeightsCache) {
    this.#cache = cache;
  }

  /**
   * Whether the missing chunks are expected to arrive by the time an engine
   * that stops accepting requests now has drained. Call it repeatedly while
   * chunks arrive: it also measures the time since the last one. False for a
   * version that the cache doesn't know.
   *
   * @param since when this host learned of the version, monotonic
   *   milliseconds.
   */
  isNearlyComplete(version: string, since: number): boolean {
    const held = this.#cache.heldChunks(version);
    if (held === undefined) return false;
    const now = monotonicMilliseconds();
    if (version !== this.#version || held.count !== this.#heldCount) {
      this.#version = version;
      this.#heldCount = held.count;
      this.#heldCountChangedAt = now;
    }
    return isNearlyComplete({
      held: held.count,
      total: held.total,
      elapsedMilliseconds: now - since,
      millisecondsSinceLastChunk: now - this.#heldCountChangedAt,
    });
  }
}
