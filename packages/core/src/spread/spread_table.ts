import type { ChunkAssignment } from "./chunk_assignment.ts";
import { HolderList } from "./holder_list.ts";
import { SourceFaults } from "./source_faults.ts";
import type { SpreadHostRow } from "./spread_host_row.ts";
import { TransferTimes } from "./transfer_times.ts";

const ORIGIN = "";

/**
 * A chunk comes from the origin in 0.1 to 0.3 s on a thin link, from a peer
 * that gives three at once in up to 0.7 s: these are more than twice that.
 */
const ORIGIN_MILLISECONDS = 700;
const PEER_MILLISECONDS = 1_600;

type Transfer = ChunkAssignment & { startedAt: number };

/** What a data centre's coordinator knows of one version's spread. */
export class SpreadTable {
  readonly version: string;
  readonly totalChunks: number;
  readonly chunkBytes: number;
  readonly dataCentre: string;
  readonly times = new TransferTimes();
  /** Data centres ever seen, and those with hosts now; in order. */
  knownDataCentres: string[] = [];
  liveDataCentres: string[] = [];
  #hosts = new Map<string, SpreadHostRow>();
  #hostsOfCentre = new Map<string, number>();
  #transfers = new Map<string, Map<number, Transfer>>();
  #uploads = new Map<string, number>();
  /** Transfers under way from each other data centre. */
  #crossing = new Map<string, number>();
  /** The host that sends here from each other data centre. */
  #crossingSource = new Map<string, string>();
  #crossingTo = new Map<string, number>();
  /** Own data centre's holders of each chunk, and other ones'. */
  #near: HolderList[];
  #far: HolderList[];
  #pending: Uint16Array;
  /** Chunks that no host here holds or is fetching. */
  #outside: number;
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
    const lists = () =>
      Array.from({ length: this.totalChunks }, () => new HolderList());
    this.#near = lists();
    this.#far = lists();
    this.#pending = new Uint16Array(this.totalChunks);
    this.#outside = this.totalChunks;
    this.#noteDataCentres();
  }

  get hosts(): SpreadHostRow[] {
    return [...this.#hosts.values()];
  }

  /** Whether a host that follows this table's plans still lacks chunks. */
  get hasWork(): boolean {
    return this.hosts.some((row) => row.followsPlans && !row.held.isComplete);
  }

  /** Chunks that are still to come in from outside. */
  get outsideChunks(): number {
    return this.#outside;
  }

  /** Whether every chunk has left the origin, for here or anywhere else. */
  get isDrawnWhole(): boolean {
    return this.#near.every((near, chunk) =>
      near.count > 0 || this.#far[chunk]!.count > 0
    );
  }

  host(name: string): SpreadHostRow | undefined {
    return this.#hosts.get(name);
  }

  setHost(row: SpreadHostRow): void {
    this.removeHost(row.host);
    this.#hosts.set(row.host, row);
    const count = this.#hostsOfCentre.get(row.dataCentre) ?? 0;
    this.#hostsOfCentre.set(row.dataCentre, count + 1);
    if (count === 0) this.#noteDataCentres();
    for (const chunk of row.held.held()) this.#addHolder(row, chunk);
  }

  /** A host that is gone holds nothing; what it gave or got is free again. */
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
      const wasInside = this.#isInside(chunk);
      holders[chunk]!.remove(name);
      this.#countOutside(chunk, wasInside);
    }
    this.#hosts.delete(name);
    const count = this.#hostsOfCentre.get(row.dataCentre)! - 1;
    if (count > 0) {
      this.#hostsOfCentre.set(row.dataCentre, count);
      return;
    }
    this.#hostsOfCentre.delete(row.dataCentre);
    this.#noteDataCentres();
  }

  addChunk(host: string, chunk: number, now: number): void {
    const row = this.#hosts.get(host);
    if (row === undefined || chunk >= this.totalChunks) return;
    const transfer = this.#transfers.get(host)?.get(chunk);
    if (transfer !== undefined) {
      const kind = this.#kindOf(transfer.source);
      this.times.learn(kind, now - transfer.startedAt);
    }
    if (row.held.add(chunk)) this.#addHolder(row, chunk);
    this.endTransfer(host, chunk);
  }

  startTransfer(transfer: Transfer): void {
    this.endTransfer(transfer.host, transfer.chunk);
    const wasInside = this.#isInside(transfer.chunk);
    this.transfersOf(transfer.host).set(transfer.chunk, transfer);
    this.#pending[transfer.chunk]! += 1;
    this.#countSource(transfer, 1);
    this.#countOutside(transfer.chunk, wasInside);
  }

  endTransfer(host: string, chunk: number): void {
    const transfers = this.#transfers.get(host);
    const transfer = transfers?.get(chunk);
    if (transfers === undefined || transfer === undefined) return;
    const wasInside = this.#isInside(chunk);
    transfers.delete(chunk);
    this.#pending[chunk]! -= 1;
    this.#countSource(transfer, -1);
    this.#countOutside(chunk, wasInside);
  }

  /**
   * Ends transfers that have taken too long. A host that froze reports no
   * failure: what it was to draw would stay pending, and every other host
   * would wait for it. It gets nothing more until it is heard again.
   */
  endOverdue(now: number): void {
    for (const { host, chunk, source, startedAt } of this.allTransfers()) {
      const most = source === ORIGIN ? ORIGIN_MILLISECONDS : PEER_MILLISECONDS;
      if (now - startedAt <= most) continue;
      this.endTransfer(host, chunk);
      this.#hosts.get(host)!.isStalled = true;
    }
  }

  noteHeard(host: string): void {
    const row = this.#hosts.get(host);
    if (row !== undefined) row.isStalled = false;
  }

  /** A host reported that a fetch failed: not that source again for a while. */
  failTransfer(
    host: string,
    chunk: number,
    times: { now: number; until: number },
  ): void {
    const transfer = this.#transfers.get(host)?.get(chunk);
    if (transfer === undefined) return;
    this.#faults.record(host, transfer.source, times);
    this.endTransfer(host, chunk);
  }

  isAvoided(host: string, source: string, now: number): boolean {
    return this.#faults.isAvoided(host, source, now);
  }

  transfersOf(host: string): Map<number, Transfer> {
    let transfers = this.#transfers.get(host);
    if (transfers === undefined) {
      transfers = new Map();
      this.#transfers.set(host, transfers);
    }
    return transfers;
  }

  allTransfers(): Transfer[] {
    return [...this.#transfers.values()].flatMap((transfers) => [
      ...transfers.values(),
    ]);
  }

  uploadsOf(source: string): number {
    return this.#uploads.get(source) ?? 0;
  }

  /** The host that sends here from a data centre now, if one does. */
  crossingSource(dataCentre: string): string | undefined {
    return this.crossingsFrom(dataCentre) > 0
      ? this.#crossingSource.get(dataCentre)
      : undefined;
  }

  crossingsFrom(dataCentre: string): number {
    return this.#crossing.get(dataCentre) ?? 0;
  }

  /** Transfers to a host from other data centres. */
  crossingsTo(host: string): number {
    return this.#crossingTo.get(host) ?? 0;
  }

  nearHolders(chunk: number): HolderList {
    return this.#near[chunk]!;
  }

  farHolders(chunk: number): HolderList {
    return this.#far[chunk]!;
  }

  pendingOf(chunk: number): number {
    return this.#pending[chunk]!;
  }

  #noteDataCentres(): void {
    const live = new Set([this.dataCentre, ...this.#hostsOfCentre.keys()]);
    this.liveDataCentres = [...live].sort();
    this.knownDataCentres = [...new Set([...live, ...this.knownDataCentres])]
      .sort();
  }

  #isInside(chunk: number): boolean {
    return this.#near[chunk]!.count > 0 || this.#pending[chunk]! > 0;
  }

  #countOutside(chunk: number, wasInside: boolean): void {
    const isInside = this.#isInside(chunk);
    if (isInside === wasInside) return;
    this.#outside += isInside ? -1 : 1;
  }

  #countSource(transfer: Transfer, change: number): void {
    const { host, source } = transfer;
    this.#uploads.set(source, this.uploadsOf(source) + change);
    if (this.#kindOf(source) !== "far") return;
    const { dataCentre } = this.#hosts.get(source)!;
    const crossing = this.crossingsFrom(dataCentre) + change;
    this.#crossing.set(dataCentre, crossing);
    if (change > 0) this.#crossingSource.set(dataCentre, source);
    this.#crossingTo.set(host, this.crossingsTo(host) + change);
  }

  #kindOf(source: string): "near" | "far" | "origin" {
    if (source === ORIGIN) return "origin";
    const row = this.#hosts.get(source);
    return row === undefined || row.dataCentre === this.dataCentre
      ? "near"
      : "far";
  }

  #holderLists(row: SpreadHostRow): HolderList[] {
    return row.dataCentre === this.dataCentre ? this.#near : this.#far;
  }

  #addHolder(row: SpreadHostRow, chunk: number): void {
    const wasInside = this.#isInside(chunk);
    this.#holderLists(row)[chunk]!.add(row.host);
    this.#countOutside(chunk, wasInside);
  }
}
