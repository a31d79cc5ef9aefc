import type { LogEntry } from "@teaselrouter/messages/control.ts";

/** The in-memory log: the entries after the last snapshot. */
export class RaftLog {
  #entries: LogEntry[] = [];
  #snapshotIndex: number;
  #snapshotTerm: number;

  constructor(snapshotIndex: number, snapshotTerm: number) {
    this.#snapshotIndex = snapshotIndex;
    this.#snapshotTerm = snapshotTerm;
  }

  /** Index of the first entry after the snapshot. */
  get firstIndex(): number {
    return this.#snapshotIndex + 1;
  }

  get lastIndex(): number {
    return this.#snapshotIndex + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#snapshotTerm;
  }

  /**
   * Term of the entry at `index`, or of the snapshot when it ends there;
   * undefined when the log does not hold `index`.
   */
  termAt(index: number): number | undefined {
    if (index === this.#snapshotIndex) return this.#snapshotTerm;
    return this.entryAt(index)?.term;
  }

  entryAt(index: number): LogEntry | undefined {
    return this.#entries[index - this.firstIndex];
  }

  /** Throws unless `entry` directly follows the last one. */
  append(entry: LogEntry): void {
    if (entry.index !== this.lastIndex + 1) {
      throw new Error(
        `log gap: entry ${entry.index} after ${this.lastIndex}`,
      );
    }
    this.#entries.push(entry);
  }

  truncateFrom(index: number): void {
    this.#entries.length = Math.max(0, index - this.firstIndex);
  }

  /** Entries from `from` on, at most `limit` of them. */
  slice(from: number, limit: number): LogEntry[] {
    const start = from - this.firstIndex;
    return this.#entries.slice(start, start + limit);
  }

  /**
   * Whether a log whose last entry has `lastIndex` and `lastTerm` is at least
   * as up-to-date as this one, by Raft's rule for granting votes.
   */
  isUpToDate(lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm;
    return lastIndex >= this.lastIndex;
  }

  /** Drops the entries that a snapshot at `index` covers. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined) return;
    this.#entries.splice(0, index - this.#snapshotIndex);
    this.#snapshotIndex = index;
    this.#snapshotTerm = term;
  }

  /** Drops all entries; the log continues after a leader's snapshot. */
  reset(snapshotIndex: number, snapshotTerm: number): void {
    this.#entries = [];
    this.#snapshotIndex = snapshotIndex;
    this.#snapshotTerm = snapshotTerm;
  }
}
