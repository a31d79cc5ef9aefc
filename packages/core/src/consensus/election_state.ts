import { create } from "@bufbuild/protobuf";
import {
  type HardState,
  HardStateSchema,
  type PeerMessage,
  PeerMessageSchema,
  type VoteRequest,
  VoteRequestSchema,
  type VoteResponse,
  VoteResponseSchema,
} from "@teaselrouter/messages/control.ts";
import type { MemberLog } from "./member_log.ts";
import type { RaftOptions } from "./raft_options.ts";
import type { RaftOutbox } from "./raft_outbox.ts";
import { VoteTally } from "./vote_tally.ts";

/**
 * Fraction of the election timeout used for the first election after a start.
 * If all members lost power, no member leads, and the group should elect a
 * leader as soon as possible. If one leads, the pre-vote does not disturb it.
 */
const FIRST_ELECTION_TIMEOUT_FRACTION = 0.4;

/**
 * Fraction of the election timeout after which a member that neither leads nor
 * gets messages from a leader repeats its pre-vote. Members that start together
 * do not become reachable at the same moment, and requests sent before that are
 * lost: with a full election timeout between pre-votes, the other members were
 * up for a second before they were asked again. A pre-vote changes no term, so
 * repeating it is safe.
 */
const PRE_VOTE_RETRY_FRACTION = 0.3;

/**
 * A member's term and vote, and the election in which it is a candidate. An
 * election begins with a pre-vote, which asks the voters whether the member
 * would win and changes no term.
 */
export class ElectionState {
  #options: RaftOptions;
  #memberLog: MemberLog;
  #outbox: RaftOutbox;
  #term: number;
  #votedFor: string;
  #electionAt = 0;
  #tally: VoteTally | undefined;

  constructor(options: RaftOptions, memberLog: MemberLog, outbox: RaftOutbox) {
    this.#options = options;
    this.#memberLog = memberLog;
    this.#outbox = outbox;
    this.#term = options.hardState.term;
    this.#votedFor = options.hardState.votedFor;
    this.#electionAt = options.now +
      options.electionTimeoutMilliseconds * FIRST_ELECTION_TIMEOUT_FRACTION *
        (1 + options.random());
  }

  get term(): number {
    return this.#term;
  }

  get hardState(): HardState {
    return create(HardStateSchema, {
      term: this.#term,
      votedFor: this.#votedFor,
    });
  }

  isElectionDue(now: number): boolean {
    return now >= this.#electionAt;
  }

  /**
   * Restarts the election timer: a leader's message arrived, a vote was
   * granted, or an election began.
   */
  resetElectionTimer(now: number): void {
    const span = this.#options.electionTimeoutMilliseconds;
    this.#electionAt = now + span * (1 + this.#options.random());
  }

  #nextPreVoteAt(now: number): number {
    const span = this.#options.electionTimeoutMilliseconds *
      PRE_VOTE_RETRY_FRACTION;
    return now + span * (1 + this.#options.random());
  }

  /** Abandons any election, and adopts `term` if it is larger. */
  becomeFollower(term: number, now: number): void {
    if (term > this.#term) this.#setTerm(term, "");
    this.#tally = undefined;
    this.resetElectionTimer(now);
  }

  /**
   * Starts a pre-vote. Returns true when this member is elected at once, as
   * the only voter.
   */
  startPreVote(now: number): boolean {
    this.#electionAt = this.#nextPreVoteAt(now);
    return this.#startRound({ preVote: true, transfer: false }, now);
  }

  /**
   * Starts an election without a pre-vote, because the leader asked for it.
   * Returns true when this member is elected at once, as the only voter.
   */
  startTransferElection(now: number): boolean {
    return this.#startRound({ preVote: false, transfer: true }, now);
  }

  /** Records a vote; returns true when it elects this member. */
  handleVoteResponse(
    message: PeerMessage,
    response: VoteResponse,
    now: number,
  ): boolean {
    const tally = this.#tally;
    if (tally === undefined) return false;
    if (!response.granted || response.preVote !== tally.preVote) return false;
    const expectedTerm = tally.preVote ? this.#term + 1 : this.#term;
    if (message.term !== expectedTerm) return false;
    tally.addVote(message.from);
    return this.#finishRoundIfWon(tally, now);
  }

  /** Answers another member's pre-vote or vote request. */
  handleVoteRequest(
    message: PeerMessage,
    request: VoteRequest,
    now: number,
  ): void {
    const { log } = this.#memberLog;
    const isLogUpToDate = log.isUpToDate(request.lastIndex, request.lastTerm);
    const granted = isLogUpToDate && this.#hasVoteFor(message, request) &&
      !this.#hasPriorityOver(message, request);
    if (granted && !request.preVote) {
      this.#setTerm(this.#term, message.from);
      this.resetElectionTimer(now);
    }
    // The member that asked is about to start its election. A competing
    // election by this member could split the votes of members that started
    // together, and cost a whole election timeout.
    if (granted && request.preVote) {
      this.#electionAt = Math.max(
        this.#electionAt,
        this.#nextPreVoteAt(now),
      );
    }
    const value = create(VoteResponseSchema, {
      preVote: request.preVote,
      granted,
    });
    const term = granted ? message.term : this.#term;
    const body = { case: "voteResponse" as const, value };
    this.#send(message.from, term, body);
  }

  /**
   * Whether this member's term and vote let it vote for `message.from` in
   * `message.term`.
   */
  #hasVoteFor(message: PeerMessage, request: VoteRequest): boolean {
    if (request.preVote) return message.term > this.#term;
    return message.term === this.#term &&
      (this.#votedFor === "" || this.#votedFor === message.from);
  }

  /**
   * Whether this member refuses a pre-vote because it is in a pre-vote itself
   * and has priority. Two members whose pre-votes overlap would otherwise grant
   * each other's, both start elections and split the votes. With equal logs,
   * the member with the greater id has priority. With unequal logs neither has:
   * the member whose log is less up to date cannot win, and must grant the
   * other's pre-vote.
   */
  #hasPriorityOver(message: PeerMessage, request: VoteRequest): boolean {
    const { lastIndex, lastTerm } = this.#memberLog.log;
    return request.preVote && this.#tally?.preVote === true &&
      request.lastIndex === lastIndex && request.lastTerm === lastTerm &&
      this.#options.id > message.from;
  }

  /** Starts a pre-vote or an election; true when this member is elected. */
  #startRound(
    round: { preVote: boolean; transfer: boolean },
    now: number,
  ): boolean {
    const { id } = this.#options;
    if (!this.#memberLog.membership.isVoter(id)) return false;
    if (!round.preVote) {
      this.#setTerm(this.#term + 1, id);
      this.resetElectionTimer(now);
    }
    const tally = new VoteTally(round);
    this.#tally = tally;
    tally.addVote(id);
    this.#sendVoteRequests(tally);
    return this.#finishRoundIfWon(tally, now);
  }

  #sendVoteRequests(tally: VoteTally): void {
    const { preVote, transfer } = tally;
    const { log, membership } = this.#memberLog;
    const { lastIndex, lastTerm } = log;
    const term = preVote ? this.#term + 1 : this.#term;
    for (const { id } of membership.voters) {
      if (id === this.#options.id) continue;
      const value = create(VoteRequestSchema, {
        preVote,
        transfer,
        lastIndex,
        lastTerm,
      });
      this.#send(id, term, { case: "voteRequest", value });
    }
  }

  /**
   * Starts the election when a pre-vote is won. Returns true when the election
   * is won.
   */
  #finishRoundIfWon(tally: VoteTally, now: number): boolean {
    const { membership } = this.#memberLog;
    const granted = tally.countVotes((id) => membership.isVoter(id));
    if (granted < membership.quorum) return false;
    if (tally.preVote) {
      return this.#startRound({ preVote: false, transfer: false }, now);
    }
    this.#tally = undefined;
    return true;
  }

  #setTerm(term: number, votedFor: string): void {
    this.#term = term;
    this.#votedFor = votedFor;
    this.#outbox.storeHardState(term, votedFor);
  }

  #send(to: string, term: number, body: PeerMessage["body"]): void {
    const from = this.#options.id;
    this.#outbox.sendAfterSync(
      create(PeerMessageSchema, { from, to, term, body }),
    );
  }
}
