import type { SpreadTable } from "./spread_table.ts";

/** Ranks the chunks that a host is missing; the lowest is fetched first. */
export interface ChunkRanking {
  rank(table: SpreadTable, chunk: number): number;
}
