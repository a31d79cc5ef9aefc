import type { ChunkAssignment } from "./chunk_assignment.ts";
import type { SpreadHostRow } from "./spread_host_row.ts";

type Transfer = ChunkAssignment & { startedAt: number };

/** What a data centre's coordinator knows of one version's spread. */
export class SpreadTable {
  readonly version: string;
  readonly totalChunks: number;
  readonly chunkBytes: number;
  readonly dataCentre: string;
  #hosts = new Map<string, SpreadHostRow>();
  #transfers = new Map<string, Map<number, Transfer>>();
  #uploads = new Map<string, number>();
  /** Own data centre's holders of each chunk. */
  #holders: Set<string>[];
  /** Other data centres' holders of each chunk. */
  #farHolders: Set<string>[];
  #pending: Uint16Array;
  #avoid = new Map<string, number>();

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
    this.#holders = Array.from({ length: this.totalChunks }, () => new Set());
    this.#farHolders = Array.from(
      { length: this.totalChunks },
      () => new Set(),
    );
    this.#pending = new Uint16Array(this.totalChunks);
  }

  get hosts(): SpreadHostRow[] {
    return [...this.#hosts.values()];
  }

  host(name: string): SpreadHostRow | undefined {
    return this.#hosts.get(name);
  }

  dataCentres(): string[] {
    const names = this.hosts.map((row) => row.dataCentre);
    return [...new Set([this.dataCentre, ...names])].sort();
  }

  setHost(row: SpreadHostRow): void {
    this.removeHost(row.host);
    this.#hosts.set(row.host, row);
    for (const chunk of row.held.held()) this.#holdersFor(row, chunk);
  }

  /** A host that is gone holds nothing; what it gave or got is free again. */
  removeHost(name: string): void {
    const row = this.#hosts.get(name);
    if (row === undefined) return;
    for (const chunk of row.held.held()) {
      this.#holders[chunk]!.delete(name);
      this.#farHolders[chunk]!.delete(name);
    }
    for (const chunk of [...this.transfersOf(name).keys()]) {
      this.endTransfer(name, chunk);
    }
    for (const transfers of this.#transfers.values()) {
      for (const transfer of [...transfers.values()]) {
        if (transfer.source === name) {
          this.endTransfer(transfer.host, transfer.chunk);
        }
      }
    }
    this.#hosts.delete(name);
  }

  addChunk(host: string, chunk: number): void {
    const row = this.#hosts.get(host);
    if (row === undefined || chunk >= this.totalChunks) return;
    this.endTransfer(host, chunk);
    if (row.held.add(chunk)) this.#holdersFor(row, chunk);
  }

  startTransfer(transfer: Transfer): void {
    this.endTransfer(transfer.host, transfer.chunk);
    this.transfersOf(transfer.host).set(transfer.chunk, transfer);
    this.#pending[transfer.chunk]! += 1;
    const uploads = this.#uploads.get(transfer.source) ?? 0;
    this.#uploads.set(transfer.source, uploads + 1);
  }

  endTransfer(host: string, chunk: number): void {
    const transfers = this.transfersOf(host);
    const transfer = transfers.get(chunk);
    if (transfer === undefined) return;
    transfers.delete(chunk);
    this.#pending[chunk]! -= 1;
    const uploads = this.#uploads.get(transfer.source) ?? 1;
    this.#uploads.set(transfer.source, uploads - 1);
  }

  /** A host reported that a fetch failed: not that source again for a while. */
  failTransfer(host: string, chunk: number, avoidUntil: number): void {
    const transfer = this.transfersOf(host).get(chunk);
    if (transfer === undefined) return;
    this.avoid(host, transfer.source, avoidUntil);
    this.endTransfer(host, chunk);
  }

  avoid(host: string, source: string, until: number): void {
    this.#avoid.set(`${host}\n${source}`, until);
  }

  isAvoided(host: string, source: string, now: number): boolean {
    if (this.#avoid.size === 0) return false;
    return (this.#avoid.get(`${host}\n${source}`) ?? 0) > now;
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

  /** Transfers under way from each other data centre. */
  allFarTransfers(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [source, uploads] of this.#uploads) {
      const from = this.#hosts.get(source)?.dataCentre;
      if (from === undefined || from === this.dataCentre) continue;
      counts.set(from, (counts.get(from) ?? 0) + uploads);
    }
    return counts;
  }

  uploadsOf(source: string): number {
    return this.#uploads.get(source) ?? 0;
  }

  holdersOf(chunk: number): Set<string> {
    return this.#holders[chunk]!;
  }

  farHoldersOf(chunk: number): Set<string> {
    return this.#farHolders[chunk]!;
  }

  pendingOf(chunk: number): number {
    return this.#pending[chunk]!;
  }

  #holdersFor(row: SpreadHostRow, chunk: number): void {
    const table = row.dataCentre === this.dataCentre
      ? this.#holders
      : this.#farHolders;
    table[chunk]!.add(row.host);
  }
}
