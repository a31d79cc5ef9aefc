/**
 * Time in which a figure loses two thirds of its weight. Slow moments on shared
 * machines last some 600 ms, with several seconds between two of them.
 */
const FIGURE_MEMORY_MILLISECONDS = 500;
/** Time over which figures are averaged for what lasts. */
const LASTING_MEMORY_MILLISECONDS = 3_000;
/**
 * Time in which a lasting slowness is forgotten without further figures, so
 * that the server is tried again.
 */
const FORGET_MILLISECONDS = 8_000;
/** A figure counts as no more than this; the server has stopped beyond it. */
const MAX_SLOWDOWN = 20;
/**
 * Length of a pass at the usual pace and a full load, relative to one that only
 * decodes: prompts are prefilled in about half of an engine's time.
 */
const PASS_WITH_PROMPTS = 2;

type Streams = {
  /** Length of a pass that only decodes, milliseconds; 0 without an engine. */
  passMilliseconds: number;
  /** Time since the latest event of a stream there, milliseconds. */
  silentMilliseconds: number;
};

/**
 * How much longer than usual work takes on one backend server now. Figures come
 * with its answers; between them the time between the events of this host's
 * streams there tells. A figure says little about the next second: an estimate
 * goes back to what lasts, as time passes.
 */
export class ServerPace {
  /**
   * Mean slowdown of its service's backend servers; undefined while none of
   * them has reported a figure: all then count as working at the usual pace.
   */
  serviceMean: number | undefined;
  #latest = 1;
  #reportedAt = -Infinity;
  #lasting: number | undefined;
  #passMilliseconds = 0;
  #passEndedAt = -Infinity;

  /** Mean of its figures lately; undefined if it has reported none. */
  get lasting(): number | undefined {
    return this.#lasting;
  }

  /**
   * Records a figure; one that is older than the latest is ignored.
   *
   * @param slowdown 1 as usual, 2 for twice as long.
   * @param measuredAt monotonic milliseconds.
   */
  record(slowdown: number, measuredAt: number): void {
    if (measuredAt < this.#reportedAt) return;
    const figure = Math.min(slowdown, MAX_SLOWDOWN);
    const lasting = this.#lasting ?? figure;
    const kept = fade(
      measuredAt - this.#reportedAt,
      LASTING_MEMORY_MILLISECONDS,
    );
    this.#lasting = figure + kept * (lasting - figure);
    this.#latest = figure;
    this.#reportedAt = measuredAt;
  }

  /** Records the time between two events of a stream, which is one pass. */
  recordPass(milliseconds: number, now: number): void {
    this.#passMilliseconds = milliseconds;
    this.#passEndedAt = now;
  }

  /** Slowdown to expect now. */
  estimate(now: number, streams: Streams): number {
    const { serviceMean } = this;
    if (serviceMean === undefined) return 1;
    const usual = PASS_WITH_PROMPTS * streams.passMilliseconds;
    const silence = usual === 0 ? 1 : clamp(streams.silentMilliseconds / usual);
    return Math.max(silence, this.#fadeLatest(now, usual, serviceMean));
  }

  /** @param usual length of a pass, milliseconds; 0 without an engine. */
  #fadeLatest(now: number, usual: number, serviceMean: number): number {
    const lasting = this.#lasting === undefined ? serviceMean : serviceMean +
      fade(now - this.#reportedAt, FORGET_MILLISECONDS) *
        (this.#lasting - serviceMean);
    const isPassLatest = usual > 0 && this.#passEndedAt > this.#reportedAt;
    const latest = isPassLatest
      ? clamp(this.#passMilliseconds / usual)
      : this.#latest;
    const latestAt = isPassLatest ? this.#passEndedAt : this.#reportedAt;
    const weight = fade(now - latestAt, FIGURE_MEMORY_MILLISECONDS);
    return lasting + weight * (latest - lasting);
  }
}

function clamp(slowdown: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(1, slowdown));
}

/** What is left of a weight of 1 after some time. */
function fade(milliseconds: number, memoryMilliseconds: number): number {
  return Math.exp(-Math.max(0, milliseconds) / memoryMilliseconds);
}
