import type { Route } from "./route.ts";

/**
 * Samples kept per route: enough to estimate its quartiles, and replaced within
 * seconds at a route's usual request rate.
 */
const SAMPLES_PER_ROUTE = 64;
/**
 * The patience of first tries is taken to be the upper quartile of the samples:
 * most requests are first tries, and one client with an unusually long timeout
 * does not make all others look like retries.
 */
const UPPER_QUARTILE = 0.75;
/**
 * With fewer samples, the route's configured timeout is the better estimate:
 * after an outage the first requests that a newly started gateway sees are
 * retries.
 */
const MIN_SAMPLES = 8;
/**
 * How far below the patience of first tries a request still counts as a first
 * try, in interquartile ranges of the samples. Clients have different timeouts:
 * if these are distributed evenly, the lowest is 1.5 interquartile ranges below
 * the upper quartile; the rest is a margin for chance. Without this tolerance
 * every third first try was taken for a retry and queued behind the others.
 */
const FIRST_TRY_INTERQUARTILE_FACTOR = 1.75;
/**
 * Upper bound of the interquartile range, as a share of the patience of first
 * tries. After an outage there are many retries, which must not widen the range
 * so far that they count as first tries.
 */
const MAX_INTERQUARTILE_SHARE = 0.1;
/**
 * Routes whose samples are kept. Configurations add and remove routes; beyond
 * this number the route that was seen first is dropped.
 */
const MAX_ROUTES = 1_024;

/**
 * Learns the patience of each route's clients on their first try, to recognize
 * retries. Patience is the time that a client waits for its response. A client
 * that retries after a refusal or a broken connection has less time left, but
 * no header marks the retry. The difference from a first try's patience is the
 * time already spent.
 */
export class PatienceEstimator {
  #samples = new Map<string, number[]>();

  /**
   * Records a request's patience, and returns the milliseconds that its client
   * spent on earlier tries; 0 for a first try or an unknown patience.
   *
   * @param patience time that the client is still going to wait, milliseconds.
   */
  estimateSpentMilliseconds(
    route: Route,
    patience: number | undefined,
  ): number {
    if (patience === undefined) return 0;
    const samples = this.#samplesOf(route.name);
    samples.push(patience);
    if (samples.length > SAMPLES_PER_ROUTE) samples.shift();
    const sorted = [...samples].sort((left, right) => left - right);
    const upperQuartile = quantileOf(sorted, UPPER_QUARTILE);
    const hasEnoughSamples = samples.length >= MIN_SAMPLES;
    const firstTryPatience = hasEnoughSamples
      ? upperQuartile
      : Math.max(upperQuartile, route.timeoutMilliseconds);
    const maxInterquartileRange = MAX_INTERQUARTILE_SHARE * firstTryPatience;
    const interquartileRange = hasEnoughSamples
      ? Math.min(
        maxInterquartileRange,
        upperQuartile - quantileOf(sorted, 1 - UPPER_QUARTILE),
      )
      : maxInterquartileRange;
    const isFirstTry = patience >=
      firstTryPatience - FIRST_TRY_INTERQUARTILE_FACTOR * interquartileRange;
    return isFirstTry ? 0 : firstTryPatience - patience;
  }

  #samplesOf(route: string): number[] {
    const existing = this.#samples.get(route);
    if (existing !== undefined) return existing;
    const samples: number[] = [];
    this.#samples.set(route, samples);
    if (this.#samples.size > MAX_ROUTES) {
      this.#samples.delete(this.#samples.keys().next().value!);
    }
    return samples;
  }
}

function quantileOf(sorted: number[], quantile: number): number {
  return sorted[Math.floor((sorted.length - 1) * quantile)]!;
}
