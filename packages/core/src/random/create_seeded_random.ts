import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 2 ** 32;

/**
 * Creates a generator of pseudorandom numbers in [0, 1), which gives the same
 * sequence for the same seed.
 */
export function createSeededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / UINT32_RANGE;
}
