import type { ChunkRanking } from "./chunk_ranking.ts";
import { chooseFetchingDataCentre } from "./choose_fetching_data_centre.ts";
import type { SpreadTable } from "./spread_table.ts";

const ASSIGNED_ELSEWHERE_RANK = 0.5;

/**
 * Ranks chunks by their copies in this data centre, fewest first; a pending
 * fetch counts as a copy. Among chunks without a copy here, those that this
 * data centre is assigned to fetch from the origin, or that a remote host
 * holds, rank first: data centres that fetch different chunks first have chunks
 * to exchange.
 */
export class RarestRanking implements ChunkRanking {
  rank(table: SpreadTable, chunk: number): number {
    const copies = table.localHolders(chunk).count +
      table.pendingFetchesOf(chunk);
    if (copies > 0) return copies;
    const isAssignedHere = chooseFetchingDataCentre(chunk, {
      known: table.knownDataCentres,
      live: table.liveDataCentres,
    }) === table.dataCentre;
    return isAssignedHere || table.remoteHolders(chunk).count > 0
      ? 0
      : ASSIGNED_ELSEWHERE_RANK;
  }
}
