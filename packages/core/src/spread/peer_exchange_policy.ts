import type { ChunkAssignment } from "./chunk_assignment.ts";
import type { ChunkRanking } from "./chunk_ranking.ts";
import { drawingDataCentre } from "./drawing_data_centre.ts";
import type { HolderList } from "./holder_list.ts";
import type { SpreadHostRow } from "./spread_host_row.ts";
import type { SpreadPolicy } from "./spread_policy.ts";
import type { SpreadTable } from "./spread_table.ts";
import type { SpreadWeighing } from "./spread_weighing.ts";

const ORIGIN = "";

type Options = {
  weighing: SpreadWeighing;
  random: () => number;
  ranking: ChunkRanking;
  /** Missing chunks looked at for the rarest. */
  chunksLookedAt: number;
  /** Holders looked at for the least busy. */
  holdersLookedAt: number;
  /** Chunks that one host fetches at once. */
  downloadsPerHost: number;
  /** Chunks that one host fetches from other data centres besides. */
  crossingsPerHost: number;
  /** Chunks that one host gives at once. */
  uploadsPerHost: number;
  /** Chunks drawn at once from the origin by this data centre. */
  originTransfers: number;
  /** Chunks drawn at once from each other data centre. */
  regionTransfers: number;
};

type Want = { host: string; chunk: number; now: number };

/**
 * Hosts of a data centre swap chunks. A chunk that no host here holds or is
 * fetching comes in once, from the origin or over a region link; the rest go
 * from host to host, each source giving a few at a time.
 */
export class SwapPolicy implements SpreadPolicy {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  plan(table: SpreadTable, now: number): ChunkAssignment[] {
    const assignments: ChunkAssignment[] = [];
    let hungry = this.#hungryHosts(table);
    while (hungry.length > 0) {
      const served: SpreadHostRow[] = [];
      for (const row of hungry) {
        const assignment = this.#next(table, row, now);
        if (assignment === undefined) continue;
        table.startTransfer({ ...assignment, startedAt: now });
        assignments.push(assignment);
        if (this.#hasRoom(table, row)) served.push(row);
      }
      hungry = served;
    }
    return assignments;
  }

  /** Begins anywhere, so that no host is always the last to be served. */
  #hungryHosts(table: SpreadTable): SpreadHostRow[] {
    const hungry = table.hosts.filter((row) =>
      row.followsPlans && !row.isStalled &&
      row.dataCentre === table.dataCentre &&
      !row.held.isComplete && this.#hasRoom(table, row)
    );
    const start = Math.floor(this.#options.random() * hungry.length);
    return [...hungry.slice(start), ...hungry.slice(0, start)];
  }

  /** A crossing fills little of a host's link: it is counted apart. */
  #hasRoom(table: SpreadTable, row: SpreadHostRow): boolean {
    const { downloadsPerHost, crossingsPerHost } = this.#options;
    const all = table.transfersOf(row.host).size;
    const crossings = table.crossingsTo(row.host);
    return all - crossings < downloadsPerHost && crossings <= crossingsPerHost;
  }

  #next(
    table: SpreadTable,
    row: SpreadHostRow,
    now: number,
  ): ChunkAssignment | undefined {
    for (const chunk of this.#wanted(table, row)) {
      const source = this.#source(table, { host: row.host, chunk, now });
      if (source !== undefined) return { host: row.host, chunk, source };
    }
    return undefined;
  }

  /** Chunks that the host lacks, best rank first, from a random sample. */
  #wanted(table: SpreadTable, row: SpreadHostRow): number[] {
    const { random, chunksLookedAt, ranking } = this.#options;
    const fetching = table.transfersOf(row.host);
    const start = Math.floor(random() * row.held.total);
    const rankOf = (chunk: number) => ranking.rank(table, chunk);
    return row.held
      .missingFrom(start, chunksLookedAt + fetching.size)
      .filter((chunk) => !fetching.has(chunk))
      .sort((left, right) => rankOf(left) - rankOf(right));
  }

  #source(table: SpreadTable, want: Want): string | undefined {
    const holders = table.nearHolders(want.chunk);
    if (holders.count > 0) {
      const near = this.#leastBusy(table, holders, want);
      if (near !== undefined) return near;
      if (this.#options.weighing === "haste" && table.isDrawnWhole) {
        return this.#fromOrigin(table, want);
      }
      if (!this.#allAvoided(table, holders, want)) return undefined;
    }
    if (table.pendingOf(want.chunk) > 0) return undefined;
    const originFirst = this.#options.weighing === "time" &&
      this.#ownerOf(table, want.chunk) === table.dataCentre;
    return originFirst
      ? this.#fromOrigin(table, want) ?? this.#fromFar(table, want)
      : this.#fromFar(table, want) ?? this.#fromOrigin(table, want);
  }

  #leastBusy(
    table: SpreadTable,
    holders: HolderList,
    want: Want,
  ): string | undefined {
    const { random, holdersLookedAt, uploadsPerHost } = this.#options;
    const start = Math.floor(random() * holders.count);
    const looked = Math.min(holders.count, holdersLookedAt);
    let best: string | undefined;
    let fewest = uploadsPerHost;
    for (let offset = 0; offset < looked; offset += 1) {
      const holder = holders.at(start + offset);
      const uploads = table.uploadsOf(holder);
      if (uploads >= fewest) continue;
      if (table.isAvoided(want.host, holder, want.now)) continue;
      [best, fewest] = [holder, uploads];
    }
    return best;
  }

  /**
   * When the only hosts here that hold a chunk have stalled, waiting for one
   * of them would wait for ever: the chunk is as good as outside.
   */
  #allAvoided(table: SpreadTable, holders: HolderList, want: Want): boolean {
    const looked = Math.min(holders.count, this.#options.holdersLookedAt);
    for (let place = 0; place < looked; place += 1) {
      const holder = holders.at(place);
      if (!table.isAvoided(want.host, holder, want.now)) return false;
    }
    return true;
  }

  #fromFar(table: SpreadTable, want: Want): string | undefined {
    const holders = table.farHolders(want.chunk);
    if (holders.count === 0 || !this.#isFarInTime(table)) return undefined;
    if (table.crossingsTo(want.host) >= this.#options.crossingsPerHost) {
      return undefined;
    }
    for (const holder of this.#farCandidates(table, holders, want.chunk)) {
      if (this.#maySend(table, holder, want)) return holder;
    }
    return undefined;
  }

  /** Hosts that send here already, then some others that hold the chunk. */
  #farCandidates(
    table: SpreadTable,
    holders: HolderList,
    chunk: number,
  ): string[] {
    const { random, holdersLookedAt } = this.#options;
    const sending = table.liveDataCentres
      .map((dataCentre) => table.crossingSource(dataCentre))
      .filter((host) => host !== undefined)
      .filter((host) => table.host(host)?.held.has(chunk));
    const start = Math.floor(random() * holders.count);
    const looked = Math.min(holders.count, holdersLookedAt);
    const others = Array.from(
      { length: looked },
      (_, offset) => holders.at(start + offset),
    );
    return [...sending, ...others];
  }

  /**
   * One host of each data centre sends here at a time: senders keep to the
   * link's rate each by itself, so two would send twice the rate. A second
   * chunk waits at the same host, or the link would idle between two.
   */
  #maySend(table: SpreadTable, holder: string, want: Want): boolean {
    const { dataCentre } = table.host(holder)!;
    const sending = table.crossingSource(dataCentre) ?? holder;
    return sending === holder &&
      table.crossingsFrom(dataCentre) < this.#options.regionTransfers &&
      table.uploadsOf(holder) < this.#options.uploadsPerHost &&
      !table.isAvoided(want.host, holder, want.now);
  }

  /**
   * Weighing time, a thin link must not bring one of the last chunks: it
   * would still be on its way when the origin has long brought all others.
   */
  #isFarInTime(table: SpreadTable): boolean {
    if (this.#options.weighing !== "time") return true;
    const far = table.times.mean("far");
    const origin = table.times.mean("origin");
    if (far === undefined || origin === undefined) return true;
    const rest = table.outsideChunks / this.#options.originTransfers;
    return far <= rest * origin;
  }

  #fromOrigin(table: SpreadTable, want: Want): string | undefined {
    if (table.uploadsOf(ORIGIN) >= this.#options.originTransfers) {
      return undefined;
    }
    if (!this.#mayDrawFromOrigin(table, want.chunk)) return undefined;
    return table.isAvoided(want.host, ORIGIN, want.now) ? undefined : ORIGIN;
  }

  /**
   * Weighing origin bytes, each chunk has one data centre that draws it, the
   * same by every coordinator's count, and the others wait for it. One that
   * is cut off is no longer among the data centres, so its chunks pass on.
   */
  #mayDrawFromOrigin(table: SpreadTable, chunk: number): boolean {
    const { weighing } = this.#options;
    if (weighing === "time") return true;
    if (weighing === "haste" && table.isDrawnWhole) return true;
    return this.#ownerOf(table, chunk) === table.dataCentre;
  }

  #ownerOf(table: SpreadTable, chunk: number): string {
    return drawingDataCentre(chunk, {
      known: table.knownDataCentres,
      live: table.liveDataCentres,
    });
  }
}
