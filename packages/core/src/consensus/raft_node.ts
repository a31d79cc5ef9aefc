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
import { Ballot } from "./ballot.ts";
import { Leadership } from "./leadership.ts";
import { MemberLog } from "./member_log.ts";
import type { RaftOptions } from "./raft_options.ts";
import { RaftOutbox } from "./raft_outbox.ts";
import type { RaftOutput } from "./raft_output.ts";

type Refusal = "not-leading" | "change-under-way";

/**
 * One member of the replicated log. Pure: messages and time go in, and
 * `takeOutput` says what to write, to sync and to send.
 */
export class RaftNode {
  readonly id: string;
  #options: RaftOptions;
  #leaderId = "";
  #outbox = new RaftOutbox();
  #member: MemberLog;
  #ballot: Ballot;
  #heardLeaderAt = -Infinity;
  /** Present while this member leads. */
  #leadership: Leadership | undefined;

  constructor(options: RaftOptions) {
    const { snapshot, entries } = options;
    this.id = options.id;
    this.#options = options;
    this.#member = new MemberLog(snapshot, entries, this.#outbox);
    this.#ballot = new Ballot(options, this.#member, this.#outbox);
  }

  get term(): number {
    return this.#ballot.term;
  }

  get commitIndex(): number {
    return this.#member.commitIndex;
  }

  get lastIndex(): number {
    return this.#member.log.lastIndex;
  }

  get firstIndex(): number {
    return this.#member.log.firstIndex;
  }

  get leaderId(): string {
    return this.#leaderId;
  }

  get membership(): Membership {
    return this.#member.membership.current;
  }

  get membershipIsCommitted(): boolean {
    return this.#member.membership.changedAt <= this.#member.commitIndex;
  }

  get regressedMembers(): string[] {
    return this.#leadership?.regressedMembers ?? [];
  }

  /**
   * Whether this member leads and a majority has answered lately. A leader
   * that was frozen for longer than the election time fails this before it
   * has run a single timer, so it answers nothing stale.
   */
  isLeading(now: number): boolean {
    return this.#leadership?.isHeld(now) ?? false;
  }

  /** Whether this leader's own term is committed, so its state is current. */
  get hasCommittedOwnTerm(): boolean {
    return this.#member.log.termAt(this.#member.commitIndex) === this.term;
  }

  get hardState(): HardState {
    return this.#ballot.hardState;
  }

  entriesAfter(index: number): LogEntry[] {
    return this.#member.log.slice(
      index + 1,
      this.#member.log.lastIndex - index,
    );
  }

  tick(now: number): void {
    if (this.#leadership !== undefined) this.#tickLeader(now);
    else if (this.#ballot.isDue(now)) this.#campaign(now);
  }

  propose(data: Uint8Array, now: number): Result<number, Refusal> {
    const leadership = this.#leadership;
    return leadership?.takesProposals(now)
      ? Result.ok(leadership.append(EntryKind.COMMAND, data))
      : Result.err("not-leading");
  }

  /** One change at a time, and only after this leader's term is committed. */
  proposeMembership(
    membership: Membership,
    now: number,
  ): Result<number, Refusal> {
    const leadership = this.#leadership;
    if (!leadership?.takesProposals(now)) return Result.err("not-leading");
    if (!this.membershipIsCommitted || !this.hasCommittedOwnTerm) {
      return Result.err("change-under-way");
    }
    const data = toBinary(MembershipSchema, membership);
    return Result.ok(leadership.append(EntryKind.MEMBERSHIP, data));
  }

  /** Sends what was proposed since the last call, as one batch. */
  flush(now: number): void {
    this.#leadership?.flush(now);
  }

  /** Starts a round; a read is current once `confirmedRound` reaches it. */
  startReadRound(now: number): Result<number, Refusal> {
    const leadership = this.#leadership;
    return leadership?.isHeld(now) && this.hasCommittedOwnTerm
      ? Result.ok(leadership.flush(now))
      : Result.err("not-leading");
  }

  get confirmedRound(): number {
    return this.#leadership?.confirmedRound ?? 0;
  }

  /** When a member last answered this leader; -Infinity when not leading. */
  heardAt(id: string): number {
    return this.#leadership?.heardAt(id) ?? -Infinity;
  }

  matchIndexOf(id: string): number {
    return this.#leadership?.matchIndexOf(id) ?? 0;
  }

  /** Hands leadership to the most complete other voter, for a planned stop. */
  transferLeadership(now: number): boolean {
    return this.#leadership?.transfer(now) ?? false;
  }

  receive(message: PeerMessage, now: number): void {
    if (message.to !== this.id) return;
    if (this.#isDisturbance(message, now)) return;
    if (message.term > this.term && !this.#keepsTerm(message)) {
      this.#becomeFollower(message.term, now);
    }
    this.#dispatch(message, now);
  }

  /** Reports that everything up to `index` of `term` is on disk. */
  markSynced(index: number, term: number): void {
    this.#member.markSynced(index, term);
    this.#leadership?.advanceCommit();
  }

  /** Replaces the log up to the state machine's `state` at `index`. */
  compact(index: number, state: Uint8Array): SnapshotData {
    return this.#member.compact(index, state);
  }

  /** Messages that need not wait for the sync that may be under way. */
  takeImmediate(): PeerMessage[] {
    return this.#outbox.takeImmediate();
  }

  /** Whether there is anything to write, to send or to hand out. */
  get hasOutput(): boolean {
    return !this.#outbox.isEmpty || this.#member.hasCommitted;
  }

  takeOutput(): RaftOutput {
    const output = this.#outbox.take();
    output.committed = this.#member.takeCommitted();
    return output;
  }

  #dispatch(message: PeerMessage, now: number): void {
    const { body, from } = message;
    switch (body.case) {
      case "voteRequest":
        return this.#ballot.answer(message, body.value, now);
      case "voteResponse":
        if (this.#ballot.takeResponse(message, body.value, now)) {
          this.#becomeLeader(now);
        }
        return;
      case "appendRequest":
        if (message.term < this.term) return this.#refuseAppend(from);
        return this.#takeAppend(from, body.value, now);
      case "snapshotRequest":
        if (message.term < this.term) return this.#refuseAppend(from);
        return this.#takeSnapshot(from, body.value.snapshot!, now);
      case "appendResponse":
        if (message.term === this.term) {
          this.#leadership?.takeResponse(from, body.value, now);
        }
        return;
      case "transferRequest":
        if (message.term === this.term) this.#takeTransfer(now);
        return;
    }
  }

  /**
   * A member that was cut off comes back with a high term, or one that is no
   * longer a member goes on asking; either would push out a healthy leader.
   * While a leader is heard, vote requests are not even looked at.
   */
  #isDisturbance(message: PeerMessage, now: number): boolean {
    if (message.body.case !== "voteRequest") return false;
    if (message.body.value.transfer) return false;
    if (this.#leadership !== undefined) return this.isLeading(now);
    return now - this.#heardLeaderAt < this.#options.electionMilliseconds;
  }

  #keepsTerm(message: PeerMessage): boolean {
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
    if (this.#ballot.askFirst(now)) this.#becomeLeader(now);
  }

  /** The leader stops as planned and hands its lead to this member. */
  #takeTransfer(now: number): void {
    this.#leaderId = "";
    if (this.#ballot.standForTransfer(now)) this.#becomeLeader(now);
  }

  #becomeLeader(now: number): void {
    this.#leaderId = this.id;
    this.#leadership = new Leadership({
      raft: this.#options,
      term: this.term,
      member: this.#member,
      outbox: this.#outbox,
      message: (to, body) => this.#message(to, body),
      now,
    });
  }

  #becomeFollower(term: number, now: number): void {
    this.#leaderId = "";
    this.#leadership = undefined;
    this.#ballot.follow(term, now);
  }

  #followLeader(from: string, now: number): void {
    this.#becomeFollower(this.term, now);
    this.#leaderId = from;
    this.#heardLeaderAt = now;
  }

  #takeAppend(from: string, request: AppendRequest, now: number): void {
    this.#followLeader(from, now);
    this.#answerAppend(from, {
      ...this.#member.accept(request),
      round: request.round,
    });
  }

  #takeSnapshot(from: string, snapshot: SnapshotData, now: number): void {
    this.#followLeader(from, now);
    this.#member.install(snapshot);
    const matchIndex = snapshot.lastIndex;
    this.#answerAppend(from, { accepted: true, matchIndex, round: 0 });
  }

  #refuseAppend(to: string): void {
    const matchIndex = this.lastIndex;
    this.#answerAppend(to, { accepted: false, matchIndex, round: 0 });
  }

  #answerAppend(
    to: string,
    answer: { accepted: boolean; matchIndex: number; round: number },
  ): void {
    const { lastIndex } = this;
    const value = create(AppendResponseSchema, { ...answer, lastIndex });
    const body = { case: "appendResponse" as const, value };
    this.#outbox.sendAfterSync(this.#message(to, body));
  }

  #message(to: string, body: PeerMessage["body"]): PeerMessage {
    const { id: from, term } = this;
    return create(PeerMessageSchema, { from, to, term, body });
  }
}
