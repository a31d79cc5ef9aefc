import { create, fromBinary } from "@bufbuild/protobuf";
import {
  type AppendRequest,
  EntryKind,
  type LogEntry,
  LogEntrySchema,
  MembershipSchema,
  type SnapshotData,
} from "@teaselrouter/messages/control.ts";
import { MembershipHistory } from "./membership_history.ts";
import { RaftLog } from "./raft_log.ts";
import type { RaftOutbox } from "./raft_outbox.ts";

type AppendResult = {
  accepted: boolean;
  /**
   * If accepted, the last index known to match the leader's log. Otherwise, the
   * index after which the leader is to try next.
   */
  matchIndex: number;
};

/**
 * One member's log: entries, snapshot, memberships, and how far the log is
 * synced, committed and delivered to the state machine.
 */
export class MemberLog {
  readonly log: RaftLog;
  readonly membership: MembershipHistory;
  #outbox: RaftOutbox;
  #snapshot: SnapshotData;
  #commitIndex: number;
  #deliveredIndex: number;
  #syncedIndex: number;

  constructor(
    snapshot: SnapshotData,
    entries: LogEntry[],
    outbox: RaftOutbox,
  ) {
    const { lastIndex, lastTerm, membership } = snapshot;
    this.log = new RaftLog(lastIndex, lastTerm);
    this.membership = new MembershipHistory(
      lastIndex,
      membership ?? create(MembershipSchema),
    );
    this.#outbox = outbox;
    this.#snapshot = snapshot;
    for (const entry of entries) this.#append(entry);
    this.#syncedIndex = this.log.lastIndex;
    this.#commitIndex = lastIndex;
    this.#deliveredIndex = lastIndex;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Last index that is synced to this member's disk. */
  get syncedIndex(): number {
    return this.#syncedIndex;
  }

  get snapshot(): SnapshotData {
    return this.#snapshot;
  }

  markSynced(index: number, term: number): void {
    if (this.log.termAt(index) !== term) return;
    this.#syncedIndex = Math.max(this.#syncedIndex, index);
  }

  commitTo(index: number): void {
    this.#commitIndex = Math.max(this.#commitIndex, index);
  }

  get hasUndeliveredEntries(): boolean {
    return this.#deliveredIndex < this.#commitIndex;
  }

  /** Newly committed entries in log order; each is returned once. */
  takeCommitted(): LogEntry[] {
    const entries: LogEntry[] = [];
    while (this.#deliveredIndex < this.#commitIndex) {
      const entry = this.log.entryAt(this.#deliveredIndex + 1);
      if (entry === undefined) break;
      entries.push(entry);
      this.#deliveredIndex += 1;
    }
    return entries;
  }

  /** Appends an entry that this member creates as leader; returns its index. */
  appendNewEntry(term: number, kind: EntryKind, data: Uint8Array): number {
    const index = this.log.lastIndex + 1;
    const entry = create(LogEntrySchema, { index, term, kind, data });
    this.#append(entry);
    this.#outbox.storeEntry(entry);
    return index;
  }

  /**
   * Appends a leader's entries if this log matches the leader's at
   * `previousIndex`. Entries that conflict with the leader's are replaced.
   */
  acceptAppend(request: AppendRequest): AppendResult {
    const { previousIndex, previousTerm } = request;
    if (previousIndex > this.log.lastIndex) {
      return { accepted: false, matchIndex: this.log.lastIndex };
    }
    const startsBeforeSnapshot = previousIndex < this.log.firstIndex - 1;
    if (
      !startsBeforeSnapshot && this.log.termAt(previousIndex) !== previousTerm
    ) {
      // All logs agree up to the commit index, so the leader retries from
      // there. Stepping back one entry at a time would take as many round
      // trips as the conflicting tail has entries.
      return { accepted: false, matchIndex: this.#commitIndex };
    }
    for (const entry of request.entries) this.#acceptEntry(entry);
    const matchIndex = Math.max(
      previousIndex + request.entries.length,
      startsBeforeSnapshot ? this.#commitIndex : 0,
    );
    this.commitTo(Math.min(request.commitIndex, matchIndex));
    return { accepted: true, matchIndex };
  }

  /**
   * Replaces the log by a leader's snapshot, unless this log already holds
   * everything that the snapshot covers.
   */
  installSnapshot(snapshot: SnapshotData): void {
    if (snapshot.lastIndex <= this.#commitIndex) return;
    if (this.log.termAt(snapshot.lastIndex) === snapshot.lastTerm) {
      // The log holds everything in the snapshot, and maybe more. A restarted
      // member does not know of any commit after its own snapshot. Resetting
      // the log here would drop entries that the member has confirmed to a
      // leader, and a majority without them could then replace them.
      return this.commitTo(snapshot.lastIndex);
    }
    this.#snapshot = snapshot;
    this.log.reset(snapshot.lastIndex, snapshot.lastTerm);
    // Undoes no change, as none would be left. The earlier memberships stay in
    // the history, and the snapshot's, recorded last, becomes the current one.
    this.membership.truncateFrom(0);
    this.membership.record(snapshot.lastIndex, snapshot.membership!);
    this.#commitIndex = snapshot.lastIndex;
    this.#deliveredIndex = snapshot.lastIndex;
    this.#syncedIndex = snapshot.lastIndex;
    this.#outbox.storeSnapshot(snapshot);
  }

  /**
   * Replaces the entries up to `index` by a snapshot of the state machine's
   * `state` at that index; returns the snapshot.
   */
  compact(index: number, state: Uint8Array): SnapshotData {
    this.#snapshot = {
      ...this.#snapshot,
      lastIndex: index,
      lastTerm: this.log.termAt(index) ?? this.#snapshot.lastTerm,
      membership: this.membership.membershipAt(index),
      state,
    };
    this.log.compact(index);
    return this.#snapshot;
  }

  #acceptEntry(entry: LogEntry): void {
    if (entry.index < this.log.firstIndex) return;
    const existingTerm = this.log.termAt(entry.index);
    if (existingTerm === entry.term) return;
    if (existingTerm !== undefined) this.#truncateFrom(entry.index);
    this.#append(entry);
    this.#outbox.storeEntry(entry);
  }

  #truncateFrom(index: number): void {
    if (index <= this.#commitIndex) {
      throw new Error(`cannot replace the committed entry at index ${index}`);
    }
    this.log.truncateFrom(index);
    this.membership.truncateFrom(index);
    this.#syncedIndex = Math.min(this.#syncedIndex, index - 1);
    this.#outbox.truncateFrom(index);
  }

  #append(entry: LogEntry): void {
    this.log.append(entry);
    if (entry.kind !== EntryKind.MEMBERSHIP) return;
    const membership = fromBinary(MembershipSchema, entry.data);
    this.membership.record(entry.index, membership);
  }
}
