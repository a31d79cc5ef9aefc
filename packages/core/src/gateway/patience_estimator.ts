import type { Route } from "./route.ts";

/** Enough to know a route by, and forgotten within seconds at its usual rate. */
const SAMPLES = 64;
/**
 * The upper quartile of what clients say: most requests are first tries, and
 * one client that waits unusually long does not make all others look late.
 */
const QUANTILE = 0.75;
/**
 * With fewer seen, the operator's own bound tells more: behind an outage a
 * gateway that has just started first sees tries that were made before.
 */
const FEW_SAMPLES = 8;
/**
 * First tries differ among themselves: not every caller waits equally long.
 * How much is seen from the middle half of them: spread evenly, the lowest is
 * 1.5 times its width below the upper quartile, and a little more is left for
 * chance. Without it every third client that asks for the first time counts
 * as one that came back, and goes behind the others.
 */
const SPREAD_WIDTHS = 1.75;
/**
 * Widest that the middle half is taken to be, as a part of the usual: behind
 * an outage those who come back are many, and must not widen it for
 * themselves.
 */
const WIDEST_MIDDLE = 0.1;
/** Routes come and go with configurations; the oldest are forgotten. */
const MOST_ROUTES = 1_024;

/**
 * How long a route's clients wait when they first ask. Who comes back after a
 * refusal or a broken connection has less time left, and no header says so:
 * what is missing is what it has spent already.
 */
export class UsualPatience {
  #samples = new Map<string, number[]>();

  /**
   * Milliseconds that the client spent on earlier tries; 0 for a first one.
   *
   * @param patience how long it will wait now, milliseconds.
   */
  spentBefore(route: Route, patience: number | undefined): number {
    if (patience === undefined) return 0;
    const samples = this.#samplesOf(route.name);
    samples.push(patience);
    if (samples.length > SAMPLES) samples.shift();
    const sorted = [...samples].sort((left, right) => left - right);
    const upper = quantileOf(sorted, QUANTILE);
    const isKnown = samples.length >= FEW_SAMPLES;
    const usual = isKnown ? upper : Math.max(upper, route.timeoutMilliseconds);
    const widest = WIDEST_MIDDLE * usual;
    const middle = isKnown
      ? Math.min(widest, upper - quantileOf(sorted, 1 - QUANTILE))
      : widest;
    const isFirst = patience >= usual - SPREAD_WIDTHS * middle;
    return isFirst ? 0 : usual - patience;
  }

  #samplesOf(route: string): number[] {
    const known = this.#samples.get(route);
    if (known !== undefined) return known;
    const samples: number[] = [];
    this.#samples.set(route, samples);
    if (this.#samples.size > MOST_ROUTES) {
      this.#samples.delete(this.#samples.keys().next().value!);
    }
    return samples;
  }
}

function quantileOf(sorted: number[], quantile: number): number {
  return sorted[Math.floor((sorted.length - 1) * quantile)]!;
}
