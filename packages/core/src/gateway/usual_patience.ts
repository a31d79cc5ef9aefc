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
    const usual = sorted[Math.floor((sorted.length - 1) * QUANTILE)]!;
    const known = samples.length < FEW_SAMPLES
      ? Math.max(usual, route.timeoutMilliseconds)
      : usual;
    return Math.max(0, known - patience);
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
