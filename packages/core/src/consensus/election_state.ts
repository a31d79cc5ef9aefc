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
 * Part of the usual time before the first election after a start. Where all
 * members lost power nobody leads, and every moment counts; where one leads,
 * asking first disturbs nothing.
 */
const FIRST_SHARE = 0.4;

/**
 * Part of the election time after which a member that leads nobody and hears
 * nobody asks again whether it would win. Members that start together aren't
 * reachable at the same moment, and what is sent ahead of that is lost: with
 * the whole time between two askings the others were up for a second before
 * they were asked again. Asking changes no term, so that it may be repeated.
 */
const ASK_AGAIN_SHARE = 0.3;

/**
 * A member's term and vote, and the election it stands in: first a round
 * that asks whether it would win and changes no term, then the election.
 */
export class Ballot {
  #options: RaftOptions;
  #member: MemberLog;
  #outbox: RaftOutbox;
  #term: number;
  #votedFor: string;
  #electionAt = 0;
  #tally: VoteTally | undefined;

  constructor(options: RaftOptions, member: MemberLog, outbox: RaftOutbox) {
    this.#options = options;
    this.#member = member;
    this.#outbox = outbox;
    this.#term = options.hardState.term;
    this.#votedFor = options.hardState.votedFor;
    this.#electionAt = options.now +
      options.electionMilliseconds * FIRST_SHARE * (1 + options.random());
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

  isDue(now: number): boolean {
    return now >= this.#electionAt;
  }

  /** A leader was heard, or a vote given: the next election is put off. */
  postpone(now: number): void {
    const span = this.#options.electionMilliseconds;
    this.#electionAt = now + span * (1 + this.#options.random());
  }

  #askAgainAt(now: number): number {
    const span = this.#options.electionMilliseconds * ASK_AGAIN_SHARE;
    return now + span * (1 + this.#options.random());
  }

  /** Leaves an election, and takes on a larger term that was heard. */
  follow(term: number, now: number): void {
    if (term > this.#term) this.#setTerm(term, "");
    this.#tally = undefined;
    this.postpone(now);
  }

  /** Asks who would vote for this member; true when it has won already. */
  askFirst(now: number): boolean {
    this.#electionAt = this.#askAgainAt(now);
    return this.#stand({ preVote: true, transfer: false }, now);
  }

  /** Stands for election at once, as the leader asked. */
  standForTransfer(now: number): boolean {
    return this.#stand({ preVote: false, transfer: true }, now);
  }

  /** Takes an answer in; true when this member is elected by it. */
  takeResponse(
    message: PeerMessage,
    response: VoteResponse,
    now: number,
  ): boolean {
    const tally = this.#tally;
    if (tally === undefined) return false;
    if (!response.granted || response.preVote !== tally.preVote) return false;
    const asked = tally.preVote ? this.#term + 1 : this.#term;
    if (message.term !== asked) return false;
    tally.grant(message.from);
    return this.#count(tally, now);
  }

  /** Answers another member that stands. */
  answer(message: PeerMessage, request: VoteRequest, now: number): void {
    const { log } = this.#member;
    const upToDate = log.isUpToDate(request.lastIndex, request.lastTerm);
    const granted = upToDate && this.#isFree(message, request) &&
      !this.#comesFirst(message, request);
    if (granted && !request.preVote) {
      this.#setTerm(this.#term, message.from);
      this.postpone(now);
    }
    // Who would win is about to stand: standing beside it would split the
    // votes of members that started together, and cost a whole election time.
    if (granted && request.preVote) {
      this.#electionAt = Math.max(this.#electionAt, this.#askAgainAt(now));
    }
    const value = create(VoteResponseSchema, {
      preVote: request.preVote,
      granted,
    });
    const term = granted ? message.term : this.#term;
    const body = { case: "voteResponse" as const, value };
    this.#send(message.from, term, body);
  }

  #isFree(message: PeerMessage, request: VoteRequest): boolean {
    if (request.preVote) return message.term > this.#term;
    return message.term === this.#term &&
      (this.#votedFor === "" || this.#votedFor === message.from);
  }

  /**
   * Two members that ask at the same time would grant each other the asking,
   * stand both, and split the votes. With equal logs the greater id goes
   * first; one that lacks entries can't win and has to let the other pass.
   */
  #comesFirst(message: PeerMessage, request: VoteRequest): boolean {
    const { lastIndex, lastTerm } = this.#member.log;
    return request.preVote && this.#tally?.preVote === true &&
      request.lastIndex === lastIndex && request.lastTerm === lastTerm &&
      this.#options.id > message.from;
  }

  #stand(round: { preVote: boolean; transfer: boolean }, now: number): boolean {
    const { id } = this.#options;
    if (!this.#member.membership.isVoter(id)) return false;
    if (!round.preVote) {
      this.#setTerm(this.#term + 1, id);
      this.postpone(now);
    }
    const tally = new VoteTally(round);
    this.#tally = tally;
    tally.grant(id);
    this.#askOthers(tally);
    return this.#count(tally, now);
  }

  #askOthers(tally: VoteTally): void {
    const { preVote, transfer } = tally;
    const { log, membership } = this.#member;
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

  #count(tally: VoteTally, now: number): boolean {
    const { membership } = this.#member;
    const granted = tally.count((id) => membership.isVoter(id));
    if (granted < membership.quorum) return false;
    if (tally.preVote) {
      return this.#stand({ preVote: false, transfer: false }, now);
    }
    this.#tally = undefined;
    return true;
  }

  #setTerm(term: number, votedFor: string): void {
    this.#term = term;
    this.#votedFor = votedFor;
    this.#outbox.storeVote(term, votedFor);
  }

  #send(to: string, term: number, body: PeerMessage["body"]): void {
    const from = this.#options.id;
    this.#outbox.sendAfterSync(
      create(PeerMessageSchema, { from, to, term, body }),
    );
  }
}
