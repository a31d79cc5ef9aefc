import { create } from "@bufbuild/protobuf";
import type {
  AppendResponse,
  LogEntry,
  PeerMessage,
  SnapshotData,
} from "@teaselrouter/messages/control.ts";
import {
  AppendRequestSchema,
  SnapshotRequestSchema,
} from "@teaselrouter/messages/control.ts";
import type { MembershipHistory } from "./membership_history.ts";
import type { PeerProgress } from "./peer_progress.ts";
import type { RaftLog } from "./raft_log.ts";

const ENTRIES_PER_REQUEST = 256;
/**
 * A request that takes longer to send and to read than a link is borne in
 * silence would never arrive; this much passes in some 10 ms.
 */
const BYTES_PER_REQUEST = 131_072;
const SNAPSHOT_RETRY_MILLISECONDS = 2_000;

type Send = (to: string, body: PeerMessage["body"]) => void;

type ReplicatorOptions = {
  selfId: string;
  log: RaftLog;
  membership: MembershipHistory;
  send: Send;
  snapshot: () => SnapshotData;
  now: number;
};

/** A leader's side of replication: who holds what, and what is committed. */
export class Replicator {
  #options: ReplicatorOptions;
  #progress = new Map<string, PeerProgress>();
  #round = 0;
  #startedAt: number;

  constructor(options: ReplicatorOptions) {
    this.#options = options;
    this.#startedAt = options.now;
  }

  /** Starts a round: every member is sent what it lacks, or a heartbeat. */
  broadcast(commitIndex: number, now: number): number {
    this.#round += 1;
    for (const member of this.#options.membership.current.members) {
      if (member.id !== this.#options.selfId) {
        this.#sendTo(member.id, commitIndex, now);
      }
    }
    return this.#round;
  }

  takeResponse(from: string, response: AppendResponse, now: number): void {
    const progress = this.#progressOf(from);
    progress.heardAt = now;
    progress.answeredRound = Math.max(progress.answeredRound, response.round);
    if (response.accepted) this.#advance(progress, response);
    else this.#fallBack(progress, response);
  }

  /** Sends at once to a member that lags and has nothing under way. */
  sendMore(to: string, commitIndex: number, now: number): void {
    const progress = this.#progressOf(to);
    if (progress.nextIndex > this.#options.log.lastIndex) return;
    this.#round += 1;
    this.#sendTo(to, commitIndex, now);
  }

  matchIndexOf(id: string): number {
    return this.#progressOf(id).matchIndex;
  }

  /** When a member last answered; a new leader counts from its start. */
  heardAt(id: string): number {
    return Math.max(this.#progressOf(id).heardAt, this.#startedAt);
  }

  /** Members whose log went back behind what they had confirmed. */
  get regressed(): string[] {
    return [...this.#progress]
      .filter(([, progress]) => progress.regressed)
      .map(([id]) => id);
  }

  /** Largest index that a majority of voters holds synced. */
  majorityIndex(ownSynced: number): number {
    return this.#majority((id) =>
      id === this.#options.selfId ? ownSynced : this.matchIndexOf(id)
    );
  }

  /** Largest round that a majority has answered. */
  confirmedRound(): number {
    return this.#majority((id) =>
      id === this.#options.selfId
        ? this.#round
        : this.#progressOf(id).answeredRound
    );
  }

  /** Whether a majority was heard within the last `window` milliseconds. */
  hasQuorumContact(now: number, window: number): boolean {
    const heardAt = this.#majority((id) =>
      id === this.#options.selfId ? now : this.heardAt(id)
    );
    return now - heardAt <= window;
  }

  #advance(progress: PeerProgress, response: AppendResponse): void {
    if (response.matchIndex < progress.matchIndex) return;
    progress.matchIndex = response.matchIndex;
    progress.matchRound = this.#round;
    progress.nextIndex = Math.max(progress.nextIndex, response.matchIndex + 1);
    progress.snapshotUntil = -Infinity;
  }

  #fallBack(progress: PeerProgress, response: AppendResponse): void {
    // Sent before the latest confirmation came: it may have overtaken it.
    if (response.round <= progress.matchRound) return;
    // Sent before what was sent again is there: each such answer would bring
    // all of it once more.
    if (response.round < progress.resentRound) return;
    // A folder put back from an older copy shows as a member whose log is
    // shorter than what it had confirmed. Counting it again could lose an
    // accepted change, so nothing more is sent to it or counted from it.
    if (response.lastIndex < progress.matchIndex) {
      progress.regressed = true;
      progress.matchIndex = 0;
      return;
    }
    progress.isFallenBack = true;
    progress.nextIndex = Math.max(
      progress.matchIndex + 1,
      Math.min(response.matchIndex + 1, progress.nextIndex),
    );
  }

  #sendTo(to: string, commitIndex: number, now: number): void {
    const progress = this.#progressOf(to);
    if (progress.regressed) return;
    const { log, send } = this.#options;
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.#sendSnapshot(to, now);
      return;
    }
    const entries = withinBytes(
      log.slice(progress.nextIndex, ENTRIES_PER_REQUEST),
    );
    progress.nextIndex += entries.length;
    if (entries.length > 0 && progress.isFallenBack) {
      progress.isFallenBack = false;
      progress.resentRound = this.#round;
    }
    send(to, {
      case: "appendRequest",
      value: create(AppendRequestSchema, {
        previousIndex,
        previousTerm,
        entries,
        commitIndex,
        round: this.#round,
      }),
    });
  }

  #sendSnapshot(to: string, now: number): void {
    const progress = this.#progressOf(to);
    if (now < progress.snapshotUntil) return;
    progress.snapshotUntil = now + SNAPSHOT_RETRY_MILLISECONDS;
    const snapshot = this.#options.snapshot();
    this.#options.send(to, {
      case: "snapshotRequest",
      value: create(SnapshotRequestSchema, { snapshot }),
    });
  }

  #majority(valueOf: (id: string) => number): number {
    const values = this.#options.membership.voters
      .map((member) => valueOf(member.id))
      .sort((left, right) => right - left);
    return values[this.#options.membership.quorum - 1] ?? 0;
  }

  #progressOf(id: string): PeerProgress {
    let progress = this.#progress.get(id);
    if (progress === undefined) {
      progress = {
        matchIndex: 0,
        matchRound: 0,
        nextIndex: this.#options.log.lastIndex + 1,
        answeredRound: 0,
        resentRound: 0,
        isFallenBack: false,
        heardAt: -Infinity,
        snapshotUntil: -Infinity,
        regressed: false,
      };
      this.#progress.set(id, progress);
    }
    return progress;
  }
}

/** The first entries that fit one request; at least one, however large. */
function withinBytes(entries: LogEntry[]): LogEntry[] {
  let bytes = 0;
  const end = entries.findIndex(({ data }) => {
    bytes += data.length;
    return bytes > BYTES_PER_REQUEST;
  });
  return end < 0 ? entries : entries.slice(0, Math.max(1, end));
}
