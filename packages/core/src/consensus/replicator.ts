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
import { MissedMembers } from "./missed_members.ts";
import type { MembershipHistory } from "./membership_history.ts";
import type { PeerProgress } from "./peer_progress.ts";
import type { RaftLog } from "./raft_log.ts";

const MAX_ENTRIES_PER_REQUEST = 256;
/**
 * A peer link on which nothing is acknowledged for 500 ms is replaced, so a
 * larger request that takes longer than that to send and read would never
 * arrive. This many bytes take about 10 ms.
 */
const MAX_BYTES_PER_REQUEST = 131_072;
/** Time without a confirmation after which a snapshot is sent again. */
const SNAPSHOT_RETRY_MILLISECONDS = 2_000;

type Send = (to: string, body: PeerMessage["body"]) => void;

type ReplicatorOptions = {
  selfId: string;
  log: RaftLog;
  membership: MembershipHistory;
  send: Send;
  snapshot: () => SnapshotData;
  /** As told by the leaders before this one. */
  missed: MissedMembers;
  /** How long leading is sure after a majority has answered, milliseconds. */
  contactMilliseconds: number;
  now: number;
};

/**
 * A leader's side of log replication: sends entries and snapshots to the other
 * members and tracks what each of them holds and has answered.
 */
export class Replicator {
  #options: ReplicatorOptions;
  #progress = new Map<string, PeerProgress>();
  #round = 0;
  #startedAt: number;

  constructor(options: ReplicatorOptions) {
    this.#options = options;
    this.#startedAt = options.now;
  }

  /**
   * Starts a round: sends every other member the entries it lacks, or a
   * heartbeat. Returns the round's number.
   */
  broadcast(commitIndex: number, now: number): number {
    this.#round += 1;
    for (const member of this.#options.membership.current.members) {
      if (member.id !== this.#options.selfId) {
        this.#sendTo(member.id, commitIndex, now);
      }
    }
    return this.#round;
  }

  handleAppendResponse(
    from: string,
    response: AppendResponse,
    now: number,
  ): void {
    const progress = this.#progressOf(from);
    progress.heardAt = now;
    progress.answeredRound = Math.max(progress.answeredRound, response.round);
    if (response.accepted) this.#recordMatch(progress, response);
    else this.#handleRejection(progress, response);
  }

  /** Sends a member the next entries if some were not yet sent to it. */
  sendIfLagging(to: string, commitIndex: number, now: number): void {
    const progress = this.#progressOf(to);
    if (progress.nextIndex > this.#options.log.lastIndex) return;
    this.#round += 1;
    this.#sendTo(to, commitIndex, now);
  }

  matchIndexOf(id: string): number {
    return this.#progressOf(id).matchIndex;
  }

  /** When this leadership began, milliseconds. */
  get startedAt(): number {
    return this.#startedAt;
  }

  /**
   * When a member last answered this leader or, as they have told, one before
   * it, milliseconds; the start of this leadership if that isn't known.
   */
  heardAt(id: string): number {
    const { heardAt } = this.#progressOf(id);
    if (heardAt >= this.#startedAt) return heardAt;
    return Math.min(this.#startedAt, this.#options.missed.heardAt(id));
  }

  /** Members whose log became shorter than what they had confirmed. */
  get regressedMembers(): string[] {
    return [...this.#progress]
      .filter(([, progress]) => progress.hasRegressed)
      .map(([id]) => id);
  }

  /** Largest index that a majority of voters has synced to disk. */
  majorityIndex(ownSyncedIndex: number): number {
    return this.#majorityValue((id) =>
      id === this.#options.selfId ? ownSyncedIndex : this.matchIndexOf(id)
    );
  }

  /** Largest round that a majority of voters has answered. */
  confirmedRound(): number {
    return this.#majorityValue((id) =>
      id === this.#options.selfId
        ? this.#round
        : this.#progressOf(id).answeredRound
    );
  }

  /** Whether a majority of voters answered within the time of contact. */
  hasQuorumContact(now: number): boolean {
    const { selfId, contactMilliseconds } = this.#options;
    const heardAt = this.#majorityValue((id) =>
      id === selfId
        ? now
        : Math.max(this.#progressOf(id).heardAt, this.#startedAt)
    );
    return now - heardAt <= contactMilliseconds;
  }

  #recordMatch(progress: PeerProgress, response: AppendResponse): void {
    if (response.matchIndex < progress.matchIndex) return;
    progress.matchIndex = response.matchIndex;
    progress.matchRound = this.#round;
    progress.nextIndex = Math.max(progress.nextIndex, response.matchIndex + 1);
    progress.snapshotRetryAt = -Infinity;
  }

  #handleRejection(progress: PeerProgress, response: AppendResponse): void {
    // Answers a request sent before the latest confirmation arrived, so this
    // rejection may be older than that confirmation.
    if (response.round <= progress.matchRound) return;
    // Answers a request sent before the latest resend. Without this check,
    // each such rejection would cause all of those entries to be sent again.
    if (response.round < progress.resendRound) return;
    // A member whose data folder was restored from an older copy has a log
    // shorter than what it had confirmed. Counting it again could lose an
    // accepted change, so nothing more is sent to it or counted from it.
    if (response.lastIndex < progress.matchIndex) {
      progress.hasRegressed = true;
      progress.matchIndex = 0;
      return;
    }
    progress.isResendPending = true;
    progress.nextIndex = Math.max(
      progress.matchIndex + 1,
      Math.min(response.matchIndex + 1, progress.nextIndex),
    );
  }

  #sendTo(to: string, commitIndex: number, now: number): void {
    const progress = this.#progressOf(to);
    if (progress.hasRegressed) return;
    const { log, send } = this.#options;
    const previousIndex = progress.nextIndex - 1;
    const previousTerm = log.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.#sendSnapshot(to, now);
      return;
    }
    const entries = limitToRequestSize(
      log.slice(progress.nextIndex, MAX_ENTRIES_PER_REQUEST),
    );
    progress.nextIndex += entries.length;
    if (entries.length > 0 && progress.isResendPending) {
      progress.isResendPending = false;
      progress.resendRound = this.#round;
    }
    send(to, {
      case: "appendRequest",
      value: create(AppendRequestSchema, {
        previousIndex,
        previousTerm,
        entries,
        commitIndex,
        round: this.#round,
        silences: this.#listSilences(now),
      }),
    });
  }

  /** A leader that stood still has heard nobody, whoever is missed. */
  #listSilences(now: number): { id: string; milliseconds: number }[] {
    if (!this.hasQuorumContact(now)) return [];
    const { selfId, membership } = this.#options;
    const others = membership.current.members
      .filter(({ id }) => id !== selfId)
      .map(({ id }) => ({ id, heardAt: this.heardAt(id) }));
    return MissedMembers.list(others, now);
  }

  #sendSnapshot(to: string, now: number): void {
    const progress = this.#progressOf(to);
    if (now < progress.snapshotRetryAt) return;
    progress.snapshotRetryAt = now + SNAPSHOT_RETRY_MILLISECONDS;
    const snapshot = this.#options.snapshot();
    this.#options.send(to, {
      case: "snapshotRequest",
      value: create(SnapshotRequestSchema, { snapshot }),
    });
  }

  /** The largest value that a majority of voters reaches. */
  #majorityValue(valueOf: (id: string) => number): number {
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
        resendRound: 0,
        isResendPending: false,
        heardAt: -Infinity,
        snapshotRetryAt: -Infinity,
        hasRegressed: false,
      };
      this.#progress.set(id, progress);
    }
    return progress;
  }
}

/**
 * The longest prefix of `entries` with at most MAX_BYTES_PER_REQUEST bytes of
 * data; at least one entry, however large.
 */
function limitToRequestSize(entries: LogEntry[]): LogEntry[] {
  let bytes = 0;
  const end = entries.findIndex(({ data }) => {
    bytes += data.length;
    return bytes > MAX_BYTES_PER_REQUEST;
  });
  return end < 0 ? entries : entries.slice(0, Math.max(1, end));
}
