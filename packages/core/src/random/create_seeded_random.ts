import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const VALUES = 2 ** 32;

/** Numbers in [0, 1), the same ones for the same seed. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / VALUES;
}
