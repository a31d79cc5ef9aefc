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
    immediate: [],
    afterSync: [],
    committed: [],
  };
}

/** Gathers what a member's edge has to do until it is taken. */
export class RaftOutbox {
  #output = emptyOutput();

  /** A message that promises nothing of this member's disk. */
  sendNow(message: PeerMessage): void {
    this.#output.immediate.push(message);
  }

  sendAfterSync(message: PeerMessage): void {
    this.#output.afterSync.push(message);
  }

  storeVote(term: number, votedFor: string): void {
    this.#output.hardState = create(HardStateSchema, { term, votedFor });
  }

  storeEntry(entry: LogEntry): void {
    this.#output.entries.push(entry);
  }

  /** The log is cut: what was to be stored from there on is not any more. */
  truncateFrom(index: number): void {
    const output = this.#output;
    output.truncateFrom = Math.min(output.truncateFrom ?? index, index);
    output.entries = output.entries.filter((entry) => entry.index < index);
  }

  /** A leader's snapshot replaces all that was to be stored. */
  storeSnapshot(snapshot: SnapshotData): void {
    this.#output.entries = [];
    this.#output.truncateFrom = undefined;
    this.#output.snapshot = snapshot;
  }

  get isEmpty(): boolean {
    const output = this.#output;
    return output.immediate.length === 0 && output.afterSync.length === 0 &&
      output.entries.length === 0 && output.hardState === undefined &&
      output.truncateFrom === undefined && output.snapshot === undefined;
  }

  takeImmediate(): PeerMessage[] {
    return this.#output.immediate.splice(0);
  }

  take(): RaftOutput {
    const output = this.#output;
    this.#output = emptyOutput();
    return output;
  }
}
