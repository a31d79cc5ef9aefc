import type { SpreadTable } from "./spread_table.ts";

/** Orders the chunks that a host lacks: the lowest rank goes first. */
export interface ChunkRanking {
  rank(table: SpreadTable, chunk: number): number;
}
