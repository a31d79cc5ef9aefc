import { create } from "@bufbuild/protobuf";
import {
  HardStateSchema,
  type LogEntry,
  type PeerMessage,
  type SnapshotData,
} from "@teaselrouter/messages/control.ts";
import type { RaftOutput } from "./raft_output.ts";

function emptyOutput(): RaftOutput {
  return {
    hardState: undefined,
    truncateFrom: undefined,
    entries: [],
    snapshot: undefined,
    immediateMessages: [],
    messagesAfterSync: [],
    committed: [],
  };
}

/** Collects a member's pending writes and messages until they are taken. */
export class RaftOutbox {
  #output = emptyOutput();

  /**
   * Queues a message that asserts nothing about this member's durable state,
   * so it need not wait for a sync.
   */
  sendNow(message: PeerMessage): void {
    this.#output.immediateMessages.push(message);
  }

  sendAfterSync(message: PeerMessage): void {
    this.#output.messagesAfterSync.push(message);
  }

  storeHardState(term: number, votedFor: string): void {
    this.#output.hardState = create(HardStateSchema, { term, votedFor });
  }

  storeEntry(entry: LogEntry): void {
    this.#output.entries.push(entry);
  }

  /**
   * Truncates the stored log from `index` on, and drops pending entries from
   * there on.
   */
  truncateFrom(index: number): void {
    const output = this.#output;
    output.truncateFrom = Math.min(output.truncateFrom ?? index, index);
    output.entries = output.entries.filter((entry) => entry.index < index);
  }

  /** Stores a leader's snapshot, which replaces all pending log writes. */
  storeSnapshot(snapshot: SnapshotData): void {
    this.#output.entries = [];
    this.#output.truncateFrom = undefined;
    this.#output.snapshot = snapshot;
  }

  get isEmpty(): boolean {
    const output = this.#output;
    return output.immediateMessages.length === 0 &&
      output.messagesAfterSync.length === 0 &&
      output.entries.length === 0 && output.hardState === undefined &&
      output.truncateFrom === undefined && output.snapshot === undefined;
  }

  takeImmediateMessages(): PeerMessage[] {
    return this.#output.immediateMessages.splice(0);
  }

  takeOutput(): RaftOutput {
    const output = this.#output;
    this.#output = emptyOutput();
    return output;
  }
}
