import type { ChunkRanking } from "./chunk_ranking.ts";

/** Any chunk, whatever its copies; lost against rarest first. */
export class RandomRanking implements ChunkRanking {
  #random: () => number;

  constructor(random: () => number) {
    this.#random = random;
  }

  rank(): number {
    return this.#random();
  }
}
