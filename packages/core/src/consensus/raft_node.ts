import { create, toBinary } from "@bufbuild/protobuf";
import {
  type AppendRequest,
  AppendResponseSchema,
  EntryKind,
  type HardState,
  type LogEntry,
  type Membership,
  MembershipSchema,
  type PeerMessage,
  PeerMessageSchema,
  type SnapshotData,
} from "@teaselrouter/messages/control.ts";
import { Result } from "true-myth";
import { ElectionState } from "./election_state.ts";
import { Leadership } from "./leadership.ts";
import { MemberLog } from "./member_log.ts";
import { MissedMembers } from "./missed_members.ts";
import type { RaftOptions } from "./raft_options.ts";
import { RaftOutbox } from "./raft_outbox.ts";
import type { RaftOutput } from "./raft_output.ts";

type ProposalRefusal = "not-leading" | "change-under-way";

/**
 * One Raft member. Performs no I/O and reads no clock: the caller passes in
 * messages and the time, and `takeOutput` returns what to write, sync and send.
 */
export class RaftNode {
  readonly id: string;
  #options: RaftOptions;
  #leaderId = "";
  #outbox = new RaftOutbox();
  #memberLog: MemberLog;
  #electionState: ElectionState;
  #lastLeaderContactAt = -Infinity;
  #missed = new MissedMembers();
  /** Defined while this member leads. */
  #leadership: Leadership | undefined;

  constructor(options: RaftOptions) {
    const { snapshot, entries } = options;
    this.id = options.id;
    this.#options = options;
    this.#memberLog = new MemberLog(snapshot, entries, this.#outbox);
    this.#electionState = new ElectionState(
      options,
      this.#memberLog,
      this.#outbox,
    );
  }

  get term(): number {
    return this.#electionState.term;
  }

  get commitIndex(): number {
    return this.#memberLog.commitIndex;
  }

  get lastIndex(): number {
    return this.#memberLog.log.lastIndex;
  }

  get firstIndex(): number {
    return this.#memberLog.log.firstIndex;
  }

  get leaderId(): string {
    return this.#leaderId;
  }

  get membership(): Membership {
    return this.#memberLog.membership.current;
  }

  get isMembershipCommitted(): boolean {
    return this.#memberLog.membership.lastChangeIndex <=
      this.#memberLog.commitIndex;
  }

  get regressedMembers(): string[] {
    return this.#leadership?.regressedMembers ?? [];
  }

  /**
   * Whether this member leads and a majority has answered within the election
   * timeout. A leader that was suspended for longer than that fails this check
   * as soon as it resumes, before any timer runs, so it never answers from
   * stale state.
   */
  isLeading(now: number): boolean {
    return this.#leadership?.hasQuorumContact(now) ?? false;
  }

  /**
   * Whether an entry of the current term is committed. On a leader, the commit
   * index then covers everything committed in earlier terms.
   */
  get hasCommittedOwnTerm(): boolean {
    return this.#memberLog.log.termAt(this.#memberLog.commitIndex) ===
      this.term;
  }

  get hardState(): HardState {
    return this.#electionState.hardState;
  }

  entriesAfter(index: number): LogEntry[] {
    return this.#memberLog.log.slice(
      index + 1,
      this.#memberLog.log.lastIndex - index,
    );
  }

  tick(now: number): void {
    if (this.#leadership !== undefined) this.#tickLeader(now);
    else if (this.#electionState.isElectionDue(now)) this.#campaign(now);
  }

  /**
   * Appends a command to the log if this member leads, a majority has answered
   * within the election timeout, and no leadership transfer is in progress.
   * Returns the entry's index, otherwise "not-leading". `flush` sends the
   * entry.
   */
  propose(data: Uint8Array, now: number): Result<number, ProposalRefusal> {
    const leadership = this.#leadership;
    return leadership?.acceptsProposals(now)
      ? Result.ok(leadership.append(EntryKind.COMMAND, data))
      : Result.err("not-leading");
  }

  /**
   * Proposes a membership change. Returns "not-leading" under the conditions of
   * `propose`, and "change-under-way" while an earlier change is uncommitted or
   * no entry of this leader's term is committed.
   */
  proposeMembership(
    membership: Membership,
    now: number,
  ): Result<number, ProposalRefusal> {
    const leadership = this.#leadership;
    if (!leadership?.acceptsProposals(now)) return Result.err("not-leading");
    if (!this.isMembershipCommitted || !this.hasCommittedOwnTerm) {
      return Result.err("change-under-way");
    }
    const data = toBinary(MembershipSchema, membership);
    return Result.ok(leadership.append(EntryKind.MEMBERSHIP, data));
  }

  /** Sends the entries proposed since the last call, as one batch. */
  flush(now: number): void {
    this.#leadership?.replicate(now);
  }

  /**
   * Starts a heartbeat round and returns its number. A read is current once
   * `confirmedRound` reaches that number.
   */
  startReadRound(now: number): Result<number, ProposalRefusal> {
    const leadership = this.#leadership;
    return leadership?.hasQuorumContact(now) && this.hasCommittedOwnTerm
      ? Result.ok(leadership.replicate(now))
      : Result.err("not-leading");
  }

  get confirmedRound(): number {
    return this.#leadership?.confirmedRound ?? 0;
  }

  /** When this member began to lead, milliseconds; Infinity if it doesn't. */
  get leadingSince(): number {
    return this.#leadership?.startedAt ?? Infinity;
  }

  /**
   * When a member last answered this leader or, as they have told, one before
   * it; when this member began to lead if that isn't known. Milliseconds;
   * -Infinity when this member does not lead.
   */
  heardAt(id: string): number {
    return this.#leadership?.heardAt(id) ?? -Infinity;
  }

  /**
   * Last index of a member's log known to match this leader's and to be synced;
   * 0 when this member does not lead.
   */
  matchIndexOf(id: string): number {
    return this.#leadership?.matchIndexOf(id) ?? 0;
  }

  /**
   * Starts to transfer leadership, for a planned stop, to the other voter that
   * holds the most entries. Returns false when this member does not lead or
   * there is no other voter.
   */
  transferLeadership(now: number): boolean {
    return this.#leadership?.startTransfer(now) ?? false;
  }

  receive(message: PeerMessage, now: number): void {
    if (message.to !== this.id) return;
    if (this.#isDisruptiveVoteRequest(message, now)) return;
    if (message.term > this.term && !this.#hasProspectiveTerm(message)) {
      this.#becomeFollower(message.term, now);
    }
    this.#dispatch(message, now);
  }

  /** Records that the log up to the entry of `term` at `index` is on disk. */
  markSynced(index: number, term: number): void {
    this.#memberLog.markSynced(index, term);
    this.#leadership?.advanceCommit();
  }

  /**
   * Replaces the entries up to `index` by a snapshot of the state machine's
   * `state` at that index; returns the snapshot for the caller to store.
   */
  compact(index: number, state: Uint8Array): SnapshotData {
    return this.#memberLog.compact(index, state);
  }

  /** Takes the messages that need not wait for a sync in progress. */
  takeImmediateMessages(): PeerMessage[] {
    return this.#outbox.takeImmediateMessages();
  }

  /** Whether there is anything to write, send or apply. */
  get hasOutput(): boolean {
    return !this.#outbox.isEmpty || this.#memberLog.hasUndeliveredEntries;
  }

  takeOutput(): RaftOutput {
    const output = this.#outbox.takeOutput();
    output.committed = this.#memberLog.takeCommitted();
    return output;
  }

  #dispatch(message: PeerMessage, now: number): void {
    const { body, from } = message;
    switch (body.case) {
      case "voteRequest":
        return this.#electionState.handleVoteRequest(message, body.value, now);
      case "voteResponse":
        if (this.#electionState.handleVoteResponse(message, body.value, now)) {
          this.#becomeLeader(now);
        }
        return;
      case "appendRequest":
        if (message.term < this.term) return this.#rejectAppend(from);
        return this.#handleAppend(from, body.value, now);
      case "snapshotRequest":
        if (message.term < this.term) return this.#rejectAppend(from);
        return this.#handleSnapshot(from, body.value.snapshot!, now);
      case "appendResponse":
        if (message.term === this.term) {
          this.#leadership?.handleAppendResponse(from, body.value, now);
        }
        return;
      case "transferRequest":
        if (message.term === this.term) this.#handleTransfer(now);
        return;
    }
  }

  /**
   * Whether a vote request is ignored because this member leads with a quorum,
   * or got a leader's message within the election timeout. Otherwise a member
   * that returns from a partition with a high term, or a removed member that
   * keeps asking for votes, would depose a healthy leader. An election that the
   * leader itself asked for is never ignored.
   */
  #isDisruptiveVoteRequest(message: PeerMessage, now: number): boolean {
    if (message.body.case !== "voteRequest") return false;
    if (message.body.value.transfer) return false;
    if (this.#leadership !== undefined) return this.isLeading(now);
    return now - this.#lastLeaderContactAt <
      this.#options.electionTimeoutMilliseconds;
  }

  /**
   * Whether the message carries the term of an election that has not started.
   * Pre-vote requests and granted pre-votes do, so their term is not adopted.
   */
  #hasProspectiveTerm(message: PeerMessage): boolean {
    const { body } = message;
    if (body.case === "voteRequest") return body.value.preVote;
    if (body.case === "voteResponse") {
      return body.value.preVote && body.value.granted;
    }
    return false;
  }

  #tickLeader(now: number): void {
    if (this.isLeading(now)) this.#leadership!.tick(now);
    else this.#becomeFollower(this.term, now);
  }

  #campaign(now: number): void {
    this.#leaderId = "";
    if (this.#electionState.startPreVote(now)) this.#becomeLeader(now);
  }

  /** Starts an election, as the leader transfers leadership to this member. */
  #handleTransfer(now: number): void {
    this.#leaderId = "";
    if (this.#electionState.startTransferElection(now)) this.#becomeLeader(now);
  }

  #becomeLeader(now: number): void {
    this.#leaderId = this.id;
    this.#leadership = new Leadership({
      raftOptions: this.#options,
      term: this.term,
      memberLog: this.#memberLog,
      outbox: this.#outbox,
      createMessage: (to, body) => this.#createMessage(to, body),
      missed: this.#missed,
      now,
    });
  }

  #becomeFollower(term: number, now: number): void {
    this.#leaderId = "";
    this.#leadership = undefined;
    this.#electionState.becomeFollower(term, now);
  }

  #followLeader(from: string, now: number): void {
    this.#becomeFollower(this.term, now);
    this.#leaderId = from;
    this.#lastLeaderContactAt = now;
  }

  #handleAppend(from: string, request: AppendRequest, now: number): void {
    this.#followLeader(from, now);
    this.#missed.replace(request.silences, now);
    this.#sendAppendResponse(from, {
      ...this.#memberLog.acceptAppend(request),
      round: request.round,
    });
  }

  #handleSnapshot(from: string, snapshot: SnapshotData, now: number): void {
    this.#followLeader(from, now);
    this.#memberLog.installSnapshot(snapshot);
    const matchIndex = snapshot.lastIndex;
    this.#sendAppendResponse(from, { accepted: true, matchIndex, round: 0 });
  }

  #rejectAppend(to: string): void {
    const matchIndex = this.lastIndex;
    this.#sendAppendResponse(to, { accepted: false, matchIndex, round: 0 });
  }

  #sendAppendResponse(
    to: string,
    answer: { accepted: boolean; matchIndex: number; round: number },
  ): void {
    const { lastIndex } = this;
    const value = create(AppendResponseSchema, { ...answer, lastIndex });
    const body = { case: "appendResponse" as const, value };
    this.#outbox.sendAfterSync(this.#createMessage(to, body));
  }

  #createMessage(to: string, body: PeerMessage["body"]): PeerMessage {
    const { id: from, term } = this;
    return create(PeerMessageSchema, { from, to, term, body });
  }
}
