import { create } from "@bufbuild/protobuf";
import {
  type AppendResponse,
  EntryKind,
  type PeerMessage,
  TransferRequestSchema,
} from "@teaselrouter/messages/control.ts";
import type { MemberLog } from "./member_log.ts";
import type { RaftOptions } from "./raft_options.ts";
import type { RaftOutbox } from "./raft_outbox.ts";
import { Replicator } from "./replicator.ts";

const NO_DATA = new Uint8Array(0);

type Options = {
  raft: RaftOptions;
  term: number;
  member: MemberLog;
  outbox: RaftOutbox;
  message: (to: string, body: PeerMessage["body"]) => PeerMessage;
  now: number;
};

/** What a member holds for as long as it leads one term. */
export class Leadership {
  #options: Options;
  #replicator: Replicator;
  #heartbeatAt = 0;
  #transferTo = "";
  #transferUntil = 0;

  constructor(options: Options) {
    const { raft, member, outbox, message, now } = options;
    this.#options = options;
    this.#replicator = new Replicator({
      selfId: raft.id,
      log: member.log,
      membership: member.membership,
      send: (to, body) => outbox.sendNow(message(to, body)),
      snapshot: () => member.snapshot,
      now,
    });
    this.append(EntryKind.BLANK, NO_DATA);
    this.flush(now);
  }

  /** Whether a majority has answered within the election time. */
  isHeld(now: number): boolean {
    const { electionMilliseconds } = this.#options.raft;
    return this.#replicator.hasQuorumContact(now, electionMilliseconds);
  }

  /** While the lead is handed on, nothing new is taken. */
  takesProposals(now: number): boolean {
    return this.isHeld(now) && this.#transferTo === "";
  }

  get regressedMembers(): string[] {
    return this.#replicator.regressed;
  }

  get confirmedRound(): number {
    return this.#replicator.confirmedRound();
  }

  heardAt(id: string): number {
    return this.#replicator.heardAt(id);
  }

  matchIndexOf(id: string): number {
    return this.#replicator.matchIndexOf(id);
  }

  append(kind: EntryKind, data: Uint8Array): number {
    const { member, term } = this.#options;
    return member.appendOwn(term, kind, data);
  }

  tick(now: number): void {
    if (this.#transferTo !== "" && now >= this.#transferUntil) {
      this.#transferTo = "";
    }
    if (now >= this.#heartbeatAt) this.flush(now);
  }

  /** Sends every member what it lacks, or a heartbeat; gives back the round. */
  flush(now: number): number {
    const { raft, member } = this.#options;
    this.#heartbeatAt = now + raft.heartbeatMilliseconds;
    return this.#replicator.broadcast(member.commitIndex, now);
  }

  takeResponse(from: string, response: AppendResponse, now: number): void {
    this.#replicator.takeResponse(from, response, now);
    this.advanceCommit();
    const { commitIndex } = this.#options.member;
    this.#replicator.sendMore(from, commitIndex, now);
    this.#continueTransfer();
  }

  /**
   * Commits what a majority holds. An entry of an older term can be replaced
   * although a majority holds it, so only an entry of this term commits what
   * precedes it.
   */
  advanceCommit(): void {
    const { member, term } = this.#options;
    const index = this.#replicator.majorityIndex(member.syncedIndex);
    if (member.log.termAt(index) === term) member.commitTo(index);
  }

  /** Hands the lead to the most complete other voter; false without one. */
  transfer(now: number): boolean {
    const { raft, member } = this.#options;
    const others = member.membership.voters
      .filter(({ id }) => id !== raft.id)
      .sort((left, right) =>
        this.matchIndexOf(right.id) - this.matchIndexOf(left.id)
      );
    const target = others[0];
    if (target === undefined) return false;
    this.#transferTo = target.id;
    this.#transferUntil = now + raft.electionMilliseconds;
    this.#continueTransfer();
    return true;
  }

  #continueTransfer(): void {
    const target = this.#transferTo;
    const { member, outbox, message } = this.#options;
    if (target === "" || this.matchIndexOf(target) < member.log.lastIndex) {
      return;
    }
    const value = create(TransferRequestSchema);
    outbox.sendAfterSync(message(target, { case: "transferRequest", value }));
  }
}
