/** Of requests placed as timely, the part whose error is below the margin. */
const QUANTILE = 0.75;
/** How far one error moves the margin: it settles within some twenty. */
const STEP_MILLISECONDS = 20;
/** A service whose forecasts are off by more is not helped by a margin. */
const MOST_MILLISECONDS = 300;

/**
 * How much later than forecast first events come, for most requests: what has
 * to be left between a forecast and the target.
 *
 * Pattern: more is asked for than the engines carry, for many seconds. Each
 * request is let in until its forecast just reaches its target; prompts that
 * arrive elsewhere in the same moment and answers that take longer then make
 * two in five late, though each took as much of an engine as one in time.
 */
export class ForecastMargin {
  #milliseconds = 0;

  get milliseconds(): number {
    return this.#milliseconds;
  }

  /** @param error when the first event came less when it was expected, ms. */
  note(error: number): void {
    const change = error > this.#milliseconds ? QUANTILE : QUANTILE - 1;
    const moved = this.#milliseconds + STEP_MILLISECONDS * change;
    this.#milliseconds = Math.min(MOST_MILLISECONDS, Math.max(0, moved));
  }
}
