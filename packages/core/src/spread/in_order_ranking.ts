import type { ChunkRanking } from "./chunk_ranking.ts";
import type { SpreadTable } from "./spread_table.ts";

/**
 * Ranks chunks by index, as a sequential copy does. A baseline for experiments,
 * in which it performed worse than rarest first.
 */
export class InOrderRanking implements ChunkRanking {
  rank(_table: SpreadTable, chunk: number): number {
    return chunk;
  }
}
