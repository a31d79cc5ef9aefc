import type { ChunkAssignment } from "./chunk_assignment.ts";
import { HolderList } from "./holder_list.ts";
import { SourceFaults } from "./source_faults.ts";
import type { SpreadHostRow } from "./spread_host_row.ts";
import { TransferTimes } from "./transfer_times.ts";

const ORIGIN = "";

/**
 * On a slow link, a chunk takes 0.1 to 0.3 s from the origin and up to 0.7 s
 * from a peer with three concurrent uploads. Each timeout is more than twice
 * the longest of these times.
 */
const ORIGIN_TIMEOUT_MILLISECONDS = 700;
const PEER_TIMEOUT_MILLISECONDS = 1_600;

type Transfer = ChunkAssignment & { startedAt: number };

/**
 * Tracks one version's spread as known to one data centre's coordinator.
 *
 * Hosts exchange whole blocks (see `WeightBlocks`). What is called a chunk
 * here, in the policies and in the rankings is therefore one block, by its
 * index, and `chunkBytes` is the size of a full block.
 */
export class SpreadTable {
  readonly version: string;
  readonly totalChunks: number;
  readonly chunkBytes: number;
  readonly dataCentre: string;
  readonly transferTimes = new TransferTimes();
  /** Data centres ever seen, and those with hosts now; both sorted. */
  knownDataCentres: string[] = [];
  liveDataCentres: string[] = [];
  #hosts = new Map<string, SpreadHostRow>();
  #hostCountByDataCentre = new Map<string, number>();
  #transfersByHost = new Map<string, Map<number, Transfer>>();
  #uploadCountBySource = new Map<string, number>();
  /** Transfers in progress from each remote data centre to this one. */
  #transferCountByRemoteDataCentre = new Map<string, number>();
  /** The latest host of each remote data centre to send to this one. */
  #senderByRemoteDataCentre = new Map<string, string>();
  #remoteTransferCountByHost = new Map<string, number>();
  /** Holders of each chunk, in this data centre and in the remote ones. */
  #localHolders: HolderList[];
  #remoteHolders: HolderList[];
  #pendingFetches: Uint16Array;
  #absentChunkCount: number;
  #faults = new SourceFaults();

  constructor(
    options: {
      version: string;
      totalChunks: number;
      chunkBytes: number;
      dataCentre: string;
    },
  ) {
    this.version = options.version;
    this.totalChunks = options.totalChunks;
    this.chunkBytes = options.chunkBytes;
    this.dataCentre = options.dataCentre;
    const createHolderLists = () =>
      Array.from({ length: this.totalChunks }, () => new HolderList());
    this.#localHolders = createHolderLists();
    this.#remoteHolders = createHolderLists();
    this.#pendingFetches = new Uint16Array(this.totalChunks);
    this.#absentChunkCount = this.totalChunks;
    this.#updateDataCentres();
  }

  get hosts(): SpreadHostRow[] {
    return [...this.#hosts.values()];
  }

  /** Whether a host that follows this table's plans is missing chunks. */
  get hasMissingChunks(): boolean {
    return this.hosts.some((row) => row.followsPlans && !row.held.isComplete);
  }

  /**
   * Number of chunks that no host of this data centre holds or is fetching;
   * these must come from the origin or a remote data centre.
   */
  get absentChunkCount(): number {
    return this.#absentChunkCount;
  }

  /**
   * Whether each chunk is held by at least one host, in this data centre or in
   * a remote one, and so has left the origin.
   */
  get isEveryChunkHeld(): boolean {
    return this.#localHolders.every((holders, chunk) =>
      holders.count > 0 || this.#remoteHolders[chunk]!.count > 0
    );
  }

  host(name: string): SpreadHostRow | undefined {
    return this.#hosts.get(name);
  }

  setHost(row: SpreadHostRow): void {
    this.removeHost(row.host);
    this.#hosts.set(row.host, row);
    const count = this.#hostCountByDataCentre.get(row.dataCentre) ?? 0;
    this.#hostCountByDataCentre.set(row.dataCentre, count + 1);
    if (count === 0) this.#updateDataCentres();
    for (const chunk of row.held.held()) this.#addHolder(row, chunk);
  }

  /**
   * Removes a host and its chunks, and ends all transfers from and to it so
   * that these chunks can be planned anew.
   */
  removeHost(name: string): void {
    const row = this.#hosts.get(name);
    if (row === undefined) return;
    for (const transfer of this.allTransfers()) {
      if (transfer.host === name || transfer.source === name) {
        this.endTransfer(transfer.host, transfer.chunk);
      }
    }
    const holders = this.#holderLists(row);
    for (const chunk of row.held.held()) {
      const wasPresent = this.#isPresent(chunk);
      holders[chunk]!.remove(name);
      this.#updateAbsentChunkCount(chunk, wasPresent);
    }
    this.#hosts.delete(name);
    const count = this.#hostCountByDataCentre.get(row.dataCentre)! - 1;
    if (count > 0) {
      this.#hostCountByDataCentre.set(row.dataCentre, count);
      return;
    }
    this.#hostCountByDataCentre.delete(row.dataCentre);
    this.#updateDataCentres();
  }

  addChunk(host: string, chunk: number, now: number): void {
    const row = this.#hosts.get(host);
    if (row === undefined || chunk >= this.totalChunks) return;
    const transfer = this.#transfersByHost.get(host)?.get(chunk);
    if (transfer !== undefined) {
      const kind = this.#sourceKind(transfer.source);
      this.transferTimes.record(kind, now - transfer.startedAt);
    }
    if (row.held.add(chunk)) this.#addHolder(row, chunk);
    this.endTransfer(host, chunk);
  }

  startTransfer(transfer: Transfer): void {
    this.endTransfer(transfer.host, transfer.chunk);
    const wasPresent = this.#isPresent(transfer.chunk);
    this.transfersOf(transfer.host).set(transfer.chunk, transfer);
    this.#pendingFetches[transfer.chunk]! += 1;
    this.#adjustTransferCounts(transfer, 1);
    this.#updateAbsentChunkCount(transfer.chunk, wasPresent);
  }

  endTransfer(host: string, chunk: number): void {
    const transfers = this.#transfersByHost.get(host);
    const transfer = transfers?.get(chunk);
    if (transfers === undefined || transfer === undefined) return;
    const wasPresent = this.#isPresent(chunk);
    transfers.delete(chunk);
    this.#pendingFetches[chunk]! -= 1;
    this.#adjustTransferCounts(transfer, -1);
    this.#updateAbsentChunkCount(chunk, wasPresent);
  }

  /**
   * Ends transfers that have exceeded their timeout. A frozen host reports no
   * failure: the chunks it was to fetch would stay pending, and every other
   * host would wait for them. The host is marked as stalled and assigned
   * nothing more until it reports again.
   */
  expireTransfers(now: number): void {
    for (const { host, chunk, source, startedAt } of this.allTransfers()) {
      const timeout = source === ORIGIN
        ? ORIGIN_TIMEOUT_MILLISECONDS
        : PEER_TIMEOUT_MILLISECONDS;
      if (now - startedAt <= timeout) continue;
      this.endTransfer(host, chunk);
      this.#hosts.get(host)!.isStalled = true;
    }
  }

  /** Marks a host that sent a report as no longer stalled. */
  markResponsive(host: string): void {
    const row = this.#hosts.get(host);
    if (row !== undefined) row.isStalled = false;
  }

  /**
   * Ends a transfer that its host reported as failed. The host then avoids the
   * source at least until `times.until`, or the origin for 300 ms if that is
   * sooner; see `SourceFaults` for when all hosts avoid a source.
   */
  failTransfer(
    host: string,
    chunk: number,
    times: { now: number; until: number },
  ): void {
    const transfer = this.#transfersByHost.get(host)?.get(chunk);
    if (transfer === undefined) return;
    this.#faults.record(host, transfer.source, times);
    this.endTransfer(host, chunk);
  }

  isAvoided(host: string, source: string, now: number): boolean {
    return this.#faults.isAvoided(host, source, now);
  }

  transfersOf(host: string): Map<number, Transfer> {
    let transfers = this.#transfersByHost.get(host);
    if (transfers === undefined) {
      transfers = new Map();
      this.#transfersByHost.set(host, transfers);
    }
    return transfers;
  }

  allTransfers(): Transfer[] {
    return [...this.#transfersByHost.values()].flatMap((transfers) => [
      ...transfers.values(),
    ]);
  }

  uploadsOf(source: string): number {
    return this.#uploadCountBySource.get(source) ?? 0;
  }

  /**
   * Returns the host of a remote data centre that is sending to this one, or
   * undefined if none is.
   */
  senderFrom(dataCentre: string): string | undefined {
    return this.remoteTransfersFrom(dataCentre) > 0
      ? this.#senderByRemoteDataCentre.get(dataCentre)
      : undefined;
  }

  remoteTransfersFrom(dataCentre: string): number {
    return this.#transferCountByRemoteDataCentre.get(dataCentre) ?? 0;
  }

  /** Number of transfers in progress to a host from remote data centres. */
  remoteTransfersTo(host: string): number {
    return this.#remoteTransferCountByHost.get(host) ?? 0;
  }

  localHolders(chunk: number): HolderList {
    return this.#localHolders[chunk]!;
  }

  remoteHolders(chunk: number): HolderList {
    return this.#remoteHolders[chunk]!;
  }

  pendingFetchesOf(chunk: number): number {
    return this.#pendingFetches[chunk]!;
  }

  #updateDataCentres(): void {
    const live = new Set([
      this.dataCentre,
      ...this.#hostCountByDataCentre.keys(),
    ]);
    this.liveDataCentres = [...live].sort();
    this.knownDataCentres = [...new Set([...live, ...this.knownDataCentres])]
      .sort();
  }

  #isPresent(chunk: number): boolean {
    return this.#localHolders[chunk]!.count > 0 ||
      this.#pendingFetches[chunk]! > 0;
  }

  #updateAbsentChunkCount(chunk: number, wasPresent: boolean): void {
    const isPresent = this.#isPresent(chunk);
    if (isPresent === wasPresent) return;
    this.#absentChunkCount += isPresent ? -1 : 1;
  }

  #adjustTransferCounts(transfer: Transfer, change: number): void {
    const { host, source } = transfer;
    this.#uploadCountBySource.set(source, this.uploadsOf(source) + change);
    if (this.#sourceKind(source) !== "remote") return;
    const { dataCentre } = this.#hosts.get(source)!;
    const transferCount = this.remoteTransfersFrom(dataCentre) + change;
    this.#transferCountByRemoteDataCentre.set(dataCentre, transferCount);
    if (change > 0) this.#senderByRemoteDataCentre.set(dataCentre, source);
    this.#remoteTransferCountByHost.set(
      host,
      this.remoteTransfersTo(host) + change,
    );
  }

  #sourceKind(source: string): "local" | "remote" | "origin" {
    if (source === ORIGIN) return "origin";
    const row = this.#hosts.get(source);
    return row === undefined || row.dataCentre === this.dataCentre
      ? "local"
      : "remote";
  }

  #holderLists(row: SpreadHostRow): HolderList[] {
    return row.dataCentre === this.dataCentre
      ? this.#localHolders
      : this.#remoteHolders;
  }

  #addHolder(row: SpreadHostRow, chunk: number): void {
    const wasPresent = this.#isPresent(chunk);
    this.#holderLists(row)[chunk]!.add(row.host);
    this.#updateAbsentChunkCount(chunk, wasPresent);
  }
}
