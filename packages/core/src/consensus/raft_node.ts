import { create } from "@bufbuild/protobuf";
import type {
  AppendRequest,
  AppendResponse,
  HardState,
  LogEntry,
  Membership,
  PeerMessage,
  SnapshotData,
  VoteRequest,
  VoteResponse,
} from "@teaselrouter/messages/control.ts";
import {
  AppendResponseSchema,
  EntryKind,
  HardStateSchema,
  LogEntrySchema,
  MembershipSchema,
  PeerMessageSchema,
  TransferRequestSchema,
  VoteRequestSchema,
  VoteResponseSchema,
} from "@teaselrouter/messages/control.ts";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { Result } from "true-myth";
import { MembershipHistory } from "./membership_history.ts";
import { RaftLog } from "./raft_log.ts";
import type { RaftOptions } from "./raft_options.ts";
import type { RaftOutput } from "./raft_output.ts";
import { Replicator } from "./replicator.ts";
import { VoteTally } from "./vote_tally.ts";

const NO_DATA = new Uint8Array(0);
const TRANSFER_ELECTION_TIMES = 1;

type Role = "follower" | "candidate" | "leader";
type Refusal = "not-leading" | "change-under-way";

/**
 * One member of the replicated log. Pure: messages and time go in, and
 * `takeOutput` says what to write, to sync and to send.
 */
export class RaftNode {
  readonly id: string;
  #options: RaftOptions;
  #role: Role = "follower";
  #term: number;
  #votedFor: string;
  #leaderId = "";
  #log: RaftLog;
  #membership: MembershipHistory;
  #snapshot: SnapshotData;
  #commitIndex: number;
  #handedOut: number;
  #syncedIndex: number;
  #heardLeaderAt = -Infinity;
  #electionAt = 0;
  #heartbeatAt = 0;
  #tally: VoteTally | undefined;
  #replicator: Replicator | undefined;
  #transferTo = "";
  #transferUntil = 0;
  #output: RaftOutput;

  constructor(options: RaftOptions) {
    const { snapshot, hardState } = options;
    this.id = options.id;
    this.#options = options;
    this.#term = hardState.term;
    this.#votedFor = hardState.votedFor;
    this.#snapshot = snapshot;
    this.#log = new RaftLog(snapshot.lastIndex, snapshot.lastTerm);
    this.#membership = new MembershipHistory(
      snapshot.lastIndex,
      snapshot.membership ?? create(MembershipSchema),
    );
    for (const entry of options.entries) this.#takeIn(entry);
    this.#syncedIndex = this.#log.lastIndex;
    this.#commitIndex = snapshot.lastIndex;
    this.#handedOut = snapshot.lastIndex;
    this.#output = this.#emptyOutput();
    this.#resetElection(options.now);
  }

  get term(): number {
    return this.#term;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  get lastIndex(): number {
    return this.#log.lastIndex;
  }

  get firstIndex(): number {
    return this.#log.firstIndex;
  }

  get leaderId(): string {
    return this.#leaderId;
  }

  get membership(): Membership {
    return this.#membership.current;
  }

  get membershipIsCommitted(): boolean {
    return this.#membership.changedAt <= this.#commitIndex;
  }

  get regressedMembers(): string[] {
    return this.#replicator?.regressed ?? [];
  }

  /**
   * Whether this member leads and a majority has answered lately. A leader
   * that was frozen for longer than the election time fails this before it
   * has run a single timer, so it answers nothing stale.
   */
  isLeading(now: number): boolean {
    return this.#role === "leader" &&
      this.#replicator!.hasQuorumContact(
        now,
        this.#options.electionMilliseconds,
      );
  }

  /** Whether this leader's own term is committed, so its state is current. */
  get hasCommittedOwnTerm(): boolean {
    return this.#log.termAt(this.#commitIndex) === this.#term;
  }

  get hardState(): HardState {
    return create(HardStateSchema, {
      term: this.#term,
      votedFor: this.#votedFor,
    });
  }

  entriesAfter(index: number): LogEntry[] {
    return this.#log.slice(index + 1, this.#log.lastIndex - index);
  }

  tick(now: number): void {
    if (this.#role === "leader") this.#tickLeader(now);
    else if (now >= this.#electionAt) this.#campaign(now);
  }

  propose(data: Uint8Array, now: number): Result<number, Refusal> {
    if (!this.isLeading(now) || this.#transferTo !== "") {
      return Result.err("not-leading");
    }
    return Result.ok(this.#appendOwn(EntryKind.COMMAND, data));
  }

  /** One change at a time, and only after this leader's term is committed. */
  proposeMembership(
    membership: Membership,
    now: number,
  ): Result<number, Refusal> {
    if (!this.isLeading(now) || this.#transferTo !== "") {
      return Result.err("not-leading");
    }
    if (!this.membershipIsCommitted || !this.hasCommittedOwnTerm) {
      return Result.err("change-under-way");
    }
    const data = toBinary(MembershipSchema, membership);
    return Result.ok(this.#appendOwn(EntryKind.MEMBERSHIP, data));
  }

  /** Sends what was proposed since the last call, as one batch. */
  flush(now: number): void {
    if (this.#role !== "leader") return;
    this.#heartbeatAt = now + this.#options.heartbeatMilliseconds;
    this.#replicator!.broadcast(this.#commitIndex, now);
  }

  /** Starts a round; a read is current once `confirmedRound` reaches it. */
  startReadRound(now: number): Result<number, Refusal> {
    if (!this.isLeading(now) || !this.hasCommittedOwnTerm) {
      return Result.err("not-leading");
    }
    return Result.ok(this.#replicator!.broadcast(this.#commitIndex, now));
  }

  get confirmedRound(): number {
    return this.#replicator?.confirmedRound() ?? 0;
  }

  matchIndexOf(id: string): number {
    return this.#replicator?.matchIndexOf(id) ?? 0;
  }

  /** Hands leadership to the most complete other voter, for a planned stop. */
  transferLeadership(now: number): boolean {
    if (this.#role !== "leader") return false;
    const others = this.#membership.voters
      .filter((member) => member.id !== this.id)
      .sort((left, right) =>
        this.matchIndexOf(right.id) - this.matchIndexOf(left.id)
      );
    const target = others[0];
    if (target === undefined) return false;
    this.#transferTo = target.id;
    this.#transferUntil = now +
      this.#options.electionMilliseconds * TRANSFER_ELECTION_TIMES;
    this.#continueTransfer();
    return true;
  }

  receive(message: PeerMessage, now: number): void {
    if (message.to !== this.id) return;
    if (this.#isDisturbance(message, now)) return;
    if (message.term > this.#term && !this.#keepsTerm(message)) {
      this.#becomeFollower(message.term, now);
    }
    this.#dispatch(message, now);
  }

  /** Reports that everything up to `index` of `term` is on disk. */
  markSynced(index: number, term: number): void {
    if (this.#log.termAt(index) !== term) return;
    this.#syncedIndex = Math.max(this.#syncedIndex, index);
    this.#advanceCommit();
  }

  /** Replaces the log up to the state machine's `state` at `index`. */
  compact(index: number, state: Uint8Array): SnapshotData {
    this.#snapshot = {
      ...this.#snapshot,
      lastIndex: index,
      lastTerm: this.#log.termAt(index) ?? this.#snapshot.lastTerm,
      membership: this.#membership.at(index),
      state,
    };
    this.#log.compact(index);
    return this.#snapshot;
  }

  /** Messages that need not wait for the sync that may be under way. */
  takeImmediate(): PeerMessage[] {
    return this.#output.immediate.splice(0);
  }

  takeOutput(): RaftOutput {
    const output = this.#output;
    this.#output = this.#emptyOutput();
    while (this.#handedOut < this.#commitIndex) {
      const entry = this.#log.entryAt(this.#handedOut + 1);
      if (entry === undefined) break;
      output.committed.push(entry);
      this.#handedOut += 1;
    }
    return output;
  }

  #dispatch(message: PeerMessage, now: number): void {
    const { body, from } = message;
    switch (body.case) {
      case "voteRequest":
        return this.#takeVoteRequest(message, body.value, now);
      case "voteResponse":
        return this.#takeVoteResponse(message, body.value, now);
      case "appendRequest":
        if (message.term < this.#term) return this.#refuseAppend(from);
        return this.#takeAppend(from, body.value, now);
      case "snapshotRequest":
        if (message.term < this.#term) return this.#refuseAppend(from);
        return this.#takeSnapshot(from, body.value.snapshot!, now);
      case "appendResponse":
        if (message.term === this.#term) {
          this.#takeAppendResponse(from, body.value, now);
        }
        return;
      case "transferRequest":
        if (message.term === this.#term) this.#startElection(now, true);
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
    if (this.#role === "leader") return this.isLeading(now);
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
    if (!this.isLeading(now)) {
      this.#becomeFollower(this.#term, now);
      return;
    }
    if (this.#transferTo !== "" && now >= this.#transferUntil) {
      this.#transferTo = "";
    }
    if (now >= this.#heartbeatAt) this.flush(now);
  }

  #campaign(now: number): void {
    this.#resetElection(now);
    if (!this.#membership.isVoter(this.id)) return;
    this.#role = "candidate";
    this.#leaderId = "";
    this.#tally = new VoteTally({ preVote: true, transfer: false });
    this.#askForVotes(this.#term + 1, now);
  }

  #startElection(now: number, transfer: boolean): void {
    if (!this.#membership.isVoter(this.id)) return;
    this.#resetElection(now);
    this.#role = "candidate";
    this.#leaderId = "";
    this.#setTerm(this.#term + 1, this.id);
    this.#tally = new VoteTally({ preVote: false, transfer });
    this.#askForVotes(this.#term, now);
  }

  #askForVotes(term: number, now: number): void {
    const tally = this.#tally!;
    tally.grant(this.id);
    for (const member of this.#membership.voters) {
      if (member.id === this.id) continue;
      this.#output.afterSync.push(this.#message(member.id, {
        case: "voteRequest",
        value: create(VoteRequestSchema, {
          preVote: tally.preVote,
          transfer: tally.transfer,
          lastIndex: this.#log.lastIndex,
          lastTerm: this.#log.lastTerm,
        }),
      }, term));
    }
    this.#countVotes(now);
  }

  #takeVoteRequest(
    message: PeerMessage,
    request: VoteRequest,
    now: number,
  ): void {
    const upToDate = this.#log.isUpToDate(request.lastIndex, request.lastTerm);
    const free = request.preVote
      ? message.term > this.#term
      : message.term === this.#term &&
        (this.#votedFor === "" || this.#votedFor === message.from);
    const granted = upToDate && free;
    if (granted && !request.preVote) {
      this.#setTerm(this.#term, message.from);
      this.#resetElection(now);
    }
    this.#output.afterSync.push(this.#message(message.from, {
      case: "voteResponse",
      value: create(VoteResponseSchema, { preVote: request.preVote, granted }),
    }, granted ? message.term : this.#term));
  }

  #takeVoteResponse(
    message: PeerMessage,
    response: VoteResponse,
    now: number,
  ): void {
    const tally = this.#tally;
    if (this.#role !== "candidate" || tally === undefined) return;
    if (!response.granted || response.preVote !== tally.preVote) return;
    const asked = tally.preVote ? this.#term + 1 : this.#term;
    if (message.term !== asked) return;
    tally.grant(message.from);
    this.#countVotes(now);
  }

  #countVotes(now: number): void {
    const tally = this.#tally!;
    const granted = tally.count((id) => this.#membership.isVoter(id));
    if (granted < this.#membership.quorum) return;
    if (tally.preVote) this.#startElection(now, false);
    else this.#becomeLeader(now);
  }

  #becomeLeader(now: number): void {
    this.#role = "leader";
    this.#leaderId = this.id;
    this.#tally = undefined;
    this.#transferTo = "";
    this.#replicator = new Replicator({
      selfId: this.id,
      log: this.#log,
      membership: this.#membership,
      send: (to, body) => this.#output.immediate.push(this.#message(to, body)),
      snapshot: () => this.#snapshot,
      now,
    });
    this.#appendOwn(EntryKind.BLANK, NO_DATA);
    this.flush(now);
  }

  #becomeFollower(term: number, now: number): void {
    if (term > this.#term) this.#setTerm(term, "");
    this.#role = "follower";
    this.#leaderId = "";
    this.#tally = undefined;
    this.#replicator = undefined;
    this.#transferTo = "";
    this.#resetElection(now);
  }

  #followLeader(from: string, now: number): void {
    if (this.#role !== "follower") this.#becomeFollower(this.#term, now);
    this.#leaderId = from;
    this.#heardLeaderAt = now;
    this.#resetElection(now);
  }

  #takeAppend(from: string, request: AppendRequest, now: number): void {
    this.#followLeader(from, now);
    const { previousIndex, previousTerm, round } = request;
    if (previousIndex > this.#log.lastIndex) {
      return this.#answerAppend(from, false, this.#log.lastIndex, round);
    }
    const behindSnapshot = previousIndex < this.#log.firstIndex - 1;
    if (
      !behindSnapshot && this.#log.termAt(previousIndex) !== previousTerm
    ) {
      const hint = Math.max(this.#commitIndex, previousIndex - 1);
      return this.#answerAppend(from, false, hint, round);
    }
    for (const entry of request.entries) this.#takeEntry(entry);
    const matched = Math.max(
      previousIndex + request.entries.length,
      behindSnapshot ? this.#commitIndex : 0,
    );
    this.#commitTo(Math.min(request.commitIndex, matched));
    this.#answerAppend(from, true, matched, round);
  }

  #takeEntry(entry: LogEntry): void {
    if (entry.index < this.#log.firstIndex) return;
    const held = this.#log.termAt(entry.index);
    if (held === entry.term) return;
    if (held !== undefined) this.#truncateFrom(entry.index);
    this.#takeIn(entry);
    this.#output.entries.push(entry);
  }

  #truncateFrom(index: number): void {
    if (index <= this.#commitIndex) {
      throw new Error(`a committed entry would be replaced at ${index}`);
    }
    this.#log.truncateFrom(index);
    this.#membership.truncateFrom(index);
    this.#syncedIndex = Math.min(this.#syncedIndex, index - 1);
    const output = this.#output;
    output.truncateFrom = Math.min(output.truncateFrom ?? index, index);
    output.entries = output.entries.filter((entry) => entry.index < index);
  }

  #takeSnapshot(from: string, snapshot: SnapshotData, now: number): void {
    this.#followLeader(from, now);
    if (snapshot.lastIndex > this.#commitIndex) {
      this.#snapshot = snapshot;
      this.#log.reset(snapshot.lastIndex, snapshot.lastTerm);
      this.#membership.truncateFrom(0);
      this.#membership.record(snapshot.lastIndex, snapshot.membership!);
      this.#commitIndex = snapshot.lastIndex;
      this.#handedOut = snapshot.lastIndex;
      this.#syncedIndex = snapshot.lastIndex;
      this.#output.entries = [];
      this.#output.truncateFrom = undefined;
      this.#output.snapshot = snapshot;
    }
    this.#answerAppend(from, true, snapshot.lastIndex, 0);
  }

  #takeAppendResponse(
    from: string,
    response: AppendResponse,
    now: number,
  ): void {
    if (this.#role !== "leader") return;
    this.#replicator!.takeResponse(from, response, now);
    this.#advanceCommit();
    this.#replicator!.sendMore(from, this.#commitIndex, now);
    this.#continueTransfer();
  }

  #refuseAppend(to: string): void {
    this.#answerAppend(to, false, this.#log.lastIndex, 0);
  }

  #answerAppend(
    to: string,
    accepted: boolean,
    matchIndex: number,
    round: number,
  ): void {
    this.#output.afterSync.push(this.#message(to, {
      case: "appendResponse",
      value: create(AppendResponseSchema, { accepted, matchIndex, round }),
    }));
  }

  #continueTransfer(): void {
    const target = this.#transferTo;
    if (target === "") return;
    if (this.matchIndexOf(target) < this.#log.lastIndex) return;
    this.#output.afterSync.push(this.#message(target, {
      case: "transferRequest",
      value: create(TransferRequestSchema),
    }));
  }

  #advanceCommit(): void {
    if (this.#role !== "leader") return;
    const index = this.#replicator!.majorityIndex(this.#syncedIndex);
    // An entry of an older term can be replaced although a majority holds it,
    // so only an entry of this leader's own term commits what precedes it.
    if (this.#log.termAt(index) === this.#term) this.#commitTo(index);
  }

  #commitTo(index: number): void {
    this.#commitIndex = Math.max(this.#commitIndex, index);
  }

  #appendOwn(kind: EntryKind, data: Uint8Array): number {
    const index = this.#log.lastIndex + 1;
    const term = this.#term;
    const entry = create(LogEntrySchema, { index, term, kind, data });
    this.#takeIn(entry);
    this.#output.entries.push(entry);
    return index;
  }

  #takeIn(entry: LogEntry): void {
    this.#log.append(entry);
    if (entry.kind === EntryKind.MEMBERSHIP) {
      const membership = fromBinary(MembershipSchema, entry.data);
      this.#membership.record(entry.index, membership);
    }
  }

  #setTerm(term: number, votedFor: string): void {
    this.#term = term;
    this.#votedFor = votedFor;
    this.#output.hardState = create(HardStateSchema, { term, votedFor });
  }

  #resetElection(now: number): void {
    const span = this.#options.electionMilliseconds;
    this.#electionAt = now + span * (1 + this.#options.random());
  }

  #message(
    to: string,
    body: PeerMessage["body"],
    term = this.#term,
  ): PeerMessage {
    return create(PeerMessageSchema, { from: this.id, to, term, body });
  }

  #emptyOutput(): RaftOutput {
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
}
