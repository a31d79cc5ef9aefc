import type { ChunkRanking } from "./chunk_ranking.ts";

/**
 * Ranks chunks at random, regardless of how many copies exist. A baseline for
 * experiments, in which it performed worse than rarest first.
 */
export class RandomRanking implements ChunkRanking {
  #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  rank(): number {
    return this.#random();
  }
}
