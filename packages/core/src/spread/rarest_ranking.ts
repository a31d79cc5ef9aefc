import type { ChunkRanking } from "./chunk_ranking.ts";
import { drawingDataCentre } from "./drawing_data_centre.ts";
import type { SpreadTable } from "./spread_table.ts";

const NOT_OURS = 0.5;

/**
 * Fewest copies here first. Among chunks still outside, those that this data
 * centre is to draw, or that another can give: data centres that draw
 * different chunks first have something to give each other.
 */
export class RarestRanking implements ChunkRanking {
  rank(table: SpreadTable, chunk: number): number {
    const copies = table.nearHolders(chunk).count + table.pendingOf(chunk);
    if (copies > 0) return copies;
    const isOurs = drawingDataCentre(chunk, {
      known: table.knownDataCentres,
      live: table.liveDataCentres,
    }) === table.dataCentre;
    return isOurs || table.farHolders(chunk).count > 0 ? 0 : NOT_OURS;
  }
}
