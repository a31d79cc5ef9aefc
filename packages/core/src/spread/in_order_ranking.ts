import type { ChunkRanking } from "./chunk_ranking.ts";
import type { SpreadTable } from "./spread_table.ts";

/** First chunk first, as a plain copy does; lost against rarest first. */
export class InOrderRanking implements ChunkRanking {
  rank(_table: SpreadTable, chunk: number): number {
    return chunk;
  }
}
