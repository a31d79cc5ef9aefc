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

type Acceptance = {
  accepted: boolean;
  /** Accepted: last index equal to the leader's. Refused: where to try. */
  matchIndex: number;
};

/** A member's log with the memberships that stand in it. */
export class MemberLog {
  readonly log: RaftLog;
  readonly membership: MembershipHistory;
  #outbox: RaftOutbox;
  #snapshot: SnapshotData;
  #commitIndex: number;
  #handedOut: number;
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
    for (const entry of entries) this.#takeIn(entry);
    this.#syncedIndex = this.log.lastIndex;
    this.#commitIndex = lastIndex;
    this.#handedOut = lastIndex;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Last index that is on this member's disk. */
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

  get hasCommitted(): boolean {
    return this.#handedOut < this.#commitIndex;
  }

  /** Newly committed entries, each handed out once and in order. */
  takeCommitted(): LogEntry[] {
    const entries: LogEntry[] = [];
    while (this.#handedOut < this.#commitIndex) {
      const entry = this.log.entryAt(this.#handedOut + 1);
      if (entry === undefined) break;
      entries.push(entry);
      this.#handedOut += 1;
    }
    return entries;
  }

  /** Appends a leader's own entry; gives back its index. */
  appendOwn(term: number, kind: EntryKind, data: Uint8Array): number {
    const index = this.log.lastIndex + 1;
    const entry = create(LogEntrySchema, { index, term, kind, data });
    this.#takeIn(entry);
    this.#outbox.storeEntry(entry);
    return index;
  }

  /** Takes a leader's entries in where they join on. */
  accept(request: AppendRequest): Acceptance {
    const { previousIndex, previousTerm } = request;
    if (previousIndex > this.log.lastIndex) {
      return { accepted: false, matchIndex: this.log.lastIndex };
    }
    const behindSnapshot = previousIndex < this.log.firstIndex - 1;
    if (!behindSnapshot && this.log.termAt(previousIndex) !== previousTerm) {
      // What is committed is equal in every log; one step back a round trip
      // would take as many of those as the tail that differs is long.
      return { accepted: false, matchIndex: this.#commitIndex };
    }
    for (const entry of request.entries) this.#takeEntry(entry);
    const matchIndex = Math.max(
      previousIndex + request.entries.length,
      behindSnapshot ? this.#commitIndex : 0,
    );
    this.commitTo(Math.min(request.commitIndex, matchIndex));
    return { accepted: true, matchIndex };
  }

  /** Starts over behind a leader's snapshot, when it is ahead. */
  install(snapshot: SnapshotData): void {
    if (snapshot.lastIndex <= this.#commitIndex) return;
    if (this.log.termAt(snapshot.lastIndex) === snapshot.lastTerm) {
      // All of it is held already, and maybe more. A member that restarted
      // knows of nothing committed behind its own snapshot; starting over here
      // would drop entries that it has confirmed, and that a majority without
      // them could then replace.
      return this.commitTo(snapshot.lastIndex);
    }
    this.#snapshot = snapshot;
    this.log.reset(snapshot.lastIndex, snapshot.lastTerm);
    this.membership.truncateFrom(0);
    this.membership.record(snapshot.lastIndex, snapshot.membership!);
    this.#commitIndex = snapshot.lastIndex;
    this.#handedOut = snapshot.lastIndex;
    this.#syncedIndex = snapshot.lastIndex;
    this.#outbox.storeSnapshot(snapshot);
  }

  /** Replaces the log up to the state machine's `state` at `index`. */
  compact(index: number, state: Uint8Array): SnapshotData {
    this.#snapshot = {
      ...this.#snapshot,
      lastIndex: index,
      lastTerm: this.log.termAt(index) ?? this.#snapshot.lastTerm,
      membership: this.membership.at(index),
      state,
    };
    this.log.compact(index);
    return this.#snapshot;
  }

  #takeEntry(entry: LogEntry): void {
    if (entry.index < this.log.firstIndex) return;
    const held = this.log.termAt(entry.index);
    if (held === entry.term) return;
    if (held !== undefined) this.#truncateFrom(entry.index);
    this.#takeIn(entry);
    this.#outbox.storeEntry(entry);
  }

  #truncateFrom(index: number): void {
    if (index <= this.#commitIndex) {
      throw new Error(`a committed entry would be replaced at ${index}`);
    }
    this.log.truncateFrom(index);
    this.membership.truncateFrom(index);
    this.#syncedIndex = Math.min(this.#syncedIndex, index - 1);
    this.#outbox.truncateFrom(index);
  }

  #takeIn(entry: LogEntry): void {
    this.log.append(entry);
    if (entry.kind !== EntryKind.MEMBERSHIP) return;
    const membership = fromBinary(MembershipSchema, entry.data);
    this.membership.record(entry.index, membership);
  }
}
