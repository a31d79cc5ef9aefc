/** An answer of this size or more has no end in sight. */
const MAX_ANSWER_BYTES = 33_554_432;
/** Of all answers that are under way at a host. */
const MAX_TOTAL_BYTES = 67_108_864;

/** What is kept of one answer; to be released when it has ended. */
type KeptAnswer = { bytes: number };

/**
 * Bounds what a host keeps of the answers that are under way. Load pattern: a
 * faulty server answers dozens of calls at once with bytes without end, beside
 * calls whose answers are small.
 */
export class AnswerMemory {
  #answers = new Set<KeptAnswer>();
  #total = 0;

  open(): KeptAnswer {
    const answer = { bytes: 0 };
    this.#answers.add(answer);
    return answer;
  }

  /**
   * Adds bytes of an answer. Returns whether it may go on: once all together are
   * too large, those end that have an equal share or more of it.
   */
  tryGrow(answer: KeptAnswer, bytes: number): boolean {
    answer.bytes += bytes;
    this.#total += bytes;
    if (answer.bytes > MAX_ANSWER_BYTES) return false;
    const share = MAX_TOTAL_BYTES / this.#answers.size;
    return this.#total <= MAX_TOTAL_BYTES || answer.bytes < share;
  }

  release(answer: KeptAnswer): void {
    if (this.#answers.delete(answer)) this.#total -= answer.bytes;
  }
}
