import type { ChunkAssignment } from "./chunk_assignment.ts";
import type { ChunkRanking } from "./chunk_ranking.ts";
import { chooseFetchingDataCentre } from "./choose_fetching_data_centre.ts";
import type { HolderList } from "./holder_list.ts";
import type { SpreadHostRow } from "./spread_host_row.ts";
import type { SpreadPolicy } from "./spread_policy.ts";
import type { SpreadTable } from "./spread_table.ts";
import type { SpreadObjective } from "./spread_objective.ts";

const ORIGIN = "";

type Options = {
  objective: SpreadObjective;
  random: () => number;
  ranking: ChunkRanking;
  /** Missing chunks that are compared to find the lowest rank. */
  chunkSampleSize: number;
  /** Holders that are compared to find the least busy one. */
  holderSampleSize: number;
  /** Most concurrent downloads of one host from the origin and local hosts. */
  downloadsPerHost: number;
  /** Most further concurrent downloads of one host from remote data centres. */
  remoteDownloadsPerHost: number;
  /** Most concurrent uploads of one host. */
  uploadsPerHost: number;
  /** Most concurrent transfers from the origin to this data centre. */
  originTransfers: number;
  /** Most concurrent transfers from each remote data centre to this one. */
  transfersPerRemoteDataCentre: number;
};

type FetchRequest = { host: string; chunk: number; now: number };

/**
 * Plans the exchange of chunks, in fact of blocks (see `SpreadTable`), among
 * the hosts of a data centre. A chunk that no local host holds or is fetching
 * is fetched once, from the origin or from a remote data centre. All other
 * transfers are between local hosts, with a few concurrent uploads per source.
 */
export class PeerExchangePolicy implements SpreadPolicy {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  plan(table: SpreadTable, now: number): ChunkAssignment[] {
    const assignments: ChunkAssignment[] = [];
    let eligible = this.#eligibleHosts(table);
    while (eligible.length > 0) {
      const stillEligible: SpreadHostRow[] = [];
      for (const row of eligible) {
        const assignment = this.#nextAssignment(table, row, now);
        if (assignment === undefined) continue;
        table.startTransfer({ ...assignment, startedAt: now });
        assignments.push(assignment);
        if (this.#hasDownloadCapacity(table, row)) stillEligible.push(row);
      }
      eligible = stillEligible;
    }
    return assignments;
  }

  /**
   * Returns the hosts that can start another download, beginning with a random
   * one so that no host is always served last.
   */
  #eligibleHosts(table: SpreadTable): SpreadHostRow[] {
    const eligible = table.hosts.filter((row) =>
      row.followsPlans && !row.isStalled &&
      row.dataCentre === table.dataCentre &&
      !row.held.isComplete && this.#hasDownloadCapacity(table, row)
    );
    const start = Math.floor(this.#options.random() * eligible.length);
    return [...eligible.slice(start), ...eligible.slice(0, start)];
  }

  /**
   * Downloads from remote data centres use little of a host's link, so
   * `#remoteSource` limits them separately. As it refuses at the limit, the
   * second condition always holds.
   */
  #hasDownloadCapacity(table: SpreadTable, row: SpreadHostRow): boolean {
    const { downloadsPerHost, remoteDownloadsPerHost } = this.#options;
    const downloads = table.transfersOf(row.host).size;
    const remoteDownloads = table.remoteTransfersTo(row.host);
    return downloads - remoteDownloads < downloadsPerHost &&
      remoteDownloads <= remoteDownloadsPerHost;
  }

  #nextAssignment(
    table: SpreadTable,
    row: SpreadHostRow,
    now: number,
  ): ChunkAssignment | undefined {
    for (const chunk of this.#candidateChunks(table, row)) {
      const source = this.#chooseSource(table, { host: row.host, chunk, now });
      if (source !== undefined) return { host: row.host, chunk, source };
    }
    return undefined;
  }

  /**
   * Returns some of the chunks that the host is missing and not yet fetching,
   * sampled from a random position, lowest rank first.
   */
  #candidateChunks(table: SpreadTable, row: SpreadHostRow): number[] {
    const { random, chunkSampleSize, ranking } = this.#options;
    const fetching = table.transfersOf(row.host);
    const start = Math.floor(random() * row.held.total);
    const rankOf = (chunk: number) => ranking.rank(table, chunk);
    return row.held
      .missingFrom(start, chunkSampleSize + fetching.size)
      .filter((chunk) => !fetching.has(chunk))
      .sort((left, right) => rankOf(left) - rankOf(right));
  }

  #chooseSource(table: SpreadTable, request: FetchRequest): string | undefined {
    const holders = table.localHolders(request.chunk);
    if (holders.count > 0) {
      const localHolder = this.#leastBusyHolder(table, holders, request);
      if (localHolder !== undefined) return localHolder;
      if (this.#options.objective === "haste" && table.isEveryChunkHeld) {
        return this.#originSource(table, request);
      }
      if (!this.#areAllAvoided(table, holders, request)) return undefined;
    }
    if (table.pendingFetchesOf(request.chunk) > 0) return undefined;
    const prefersOrigin = this.#options.objective === "time" &&
      this.#assignedDataCentre(table, request.chunk) === table.dataCentre;
    return prefersOrigin
      ? this.#originSource(table, request) ?? this.#remoteSource(table, request)
      : this.#remoteSource(table, request) ??
        this.#originSource(table, request);
  }

  #leastBusyHolder(
    table: SpreadTable,
    holders: HolderList,
    request: FetchRequest,
  ): string | undefined {
    const { random, holderSampleSize, uploadsPerHost } = this.#options;
    const start = Math.floor(random() * holders.count);
    const sampleSize = Math.min(holders.count, holderSampleSize);
    let best: string | undefined;
    let fewestUploads = uploadsPerHost;
    for (let offset = 0; offset < sampleSize; offset += 1) {
      const holder = holders.at(start + offset);
      const uploads = table.uploadsOf(holder);
      if (uploads >= fewestUploads) continue;
      if (table.isAvoided(request.host, holder, request.now)) continue;
      [best, fewestUploads] = [holder, uploads];
    }
    return best;
  }

  /**
   * Whether the requesting host avoids all local holders of the chunk that are
   * examined. If the only local holders have stalled, waiting for one would
   * never end, so the chunk is fetched as if no local host held it.
   */
  #areAllAvoided(
    table: SpreadTable,
    holders: HolderList,
    request: FetchRequest,
  ): boolean {
    const sampleSize = Math.min(holders.count, this.#options.holderSampleSize);
    for (let index = 0; index < sampleSize; index += 1) {
      const holder = holders.at(index);
      if (!table.isAvoided(request.host, holder, request.now)) return false;
    }
    return true;
  }

  #remoteSource(table: SpreadTable, request: FetchRequest): string | undefined {
    const holders = table.remoteHolders(request.chunk);
    if (holders.count === 0 || !this.#isRemoteInTime(table)) return undefined;
    if (
      table.remoteTransfersTo(request.host) >=
        this.#options.remoteDownloadsPerHost
    ) {
      return undefined;
    }
    for (
      const holder of this.#remoteCandidates(table, holders, request.chunk)
    ) {
      if (this.#canSend(table, holder, request)) return holder;
    }
    return undefined;
  }

  /**
   * Returns remote holders of the chunk: those that already send to this data
   * centre, then some others.
   */
  #remoteCandidates(
    table: SpreadTable,
    holders: HolderList,
    chunk: number,
  ): string[] {
    const { random, holderSampleSize } = this.#options;
    const activeSenders = table.liveDataCentres
      .map((dataCentre) => table.senderFrom(dataCentre))
      .filter((host) => host !== undefined)
      .filter((host) => table.host(host)?.held.has(chunk));
    const start = Math.floor(random() * holders.count);
    const sampleSize = Math.min(holders.count, holderSampleSize);
    const others = Array.from(
      { length: sampleSize },
      (_, offset) => holders.at(start + offset),
    );
    return [...activeSenders, ...others];
  }

  /**
   * Whether a remote holder may send a chunk to this data centre. Only one host
   * of each remote data centre sends at a time: each sender limits itself to
   * the link's rate, so two would send at twice that rate. A second chunk is
   * queued at the same sender, or the link would be idle between two chunks.
   */
  #canSend(table: SpreadTable, holder: string, request: FetchRequest): boolean {
    const { dataCentre } = table.host(holder)!;
    const activeSender = table.senderFrom(dataCentre) ?? holder;
    return activeSender === holder &&
      table.remoteTransfersFrom(dataCentre) <
        this.#options.transfersPerRemoteDataCentre &&
      table.uploadsOf(holder) < this.#options.uploadsPerHost &&
      !table.isAvoided(request.host, holder, request.now);
  }

  /**
   * When minimizing time, whether a remote transfer ends before the origin
   * could deliver all absent chunks. Otherwise one of the last chunks would
   * still be in transit over a slow link long after the origin has delivered
   * all others. True until both mean transfer times are known.
   */
  #isRemoteInTime(table: SpreadTable): boolean {
    if (this.#options.objective !== "time") return true;
    const remoteMean = table.transferTimes.mean("remote");
    const originMean = table.transferTimes.mean("origin");
    if (remoteMean === undefined || originMean === undefined) return true;
    const originRounds = table.absentChunkCount / this.#options.originTransfers;
    return remoteMean <= originRounds * originMean;
  }

  #originSource(table: SpreadTable, request: FetchRequest): string | undefined {
    if (table.uploadsOf(ORIGIN) >= this.#options.originTransfers) {
      return undefined;
    }
    if (!this.#mayFetchFromOrigin(table, request.chunk)) return undefined;
    return table.isAvoided(request.host, ORIGIN, request.now)
      ? undefined
      : ORIGIN;
  }

  /**
   * When minimizing origin bytes, only the data centre assigned to a chunk
   * fetches it from the origin, and the others wait for it; with "haste", this
   * holds until every chunk has left the origin. All coordinators compute the
   * same assignment. A data centre that is cut off is no longer live, so its
   * chunks are reassigned.
   */
  #mayFetchFromOrigin(table: SpreadTable, chunk: number): boolean {
    const { objective } = this.#options;
    if (objective === "time") return true;
    if (objective === "haste" && table.isEveryChunkHeld) return true;
    return this.#assignedDataCentre(table, chunk) === table.dataCentre;
  }

  #assignedDataCentre(table: SpreadTable, chunk: number): string {
    return chooseFetchingDataCentre(chunk, {
      known: table.knownDataCentres,
      live: table.liveDataCentres,
    });
  }
}
