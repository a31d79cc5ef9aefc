/** An answer of this size or more has no end in sight. */
const MAX_ANSWER_BYTES = 33_554_432;
/** Of all answers that are under way at a host. */
const MAX_TOTAL_BYTES = 67_108_864;

/** One answer's place; to be released when it has ended. */
type Place = { bytes: number };

/**
 * Bounds what a host keeps of the answers that are under way. Load pattern: a
 * faulty server answers dozens of calls at once with bytes without end, beside
 * calls whose answers are small.
 */
export class AnswerRoom {
  #places = new Set<Place>();
  #total = 0;

  open(): Place {
    const place = { bytes: 0 };
    this.#places.add(place);
    return place;
  }

  /**
   * Adds bytes of an answer. Returns whether it may go on: once all together are
   * too large, those end that have an equal share or more of it.
   */
  tryGrow(place: Place, bytes: number): boolean {
    place.bytes += bytes;
    this.#total += bytes;
    if (place.bytes > MAX_ANSWER_BYTES) return false;
    const share = MAX_TOTAL_BYTES / this.#places.size;
    return this.#total <= MAX_TOTAL_BYTES || place.bytes < share;
  }

  release(place: Place): void {
    if (this.#places.delete(place)) this.#total -= place.bytes;
  }
}
