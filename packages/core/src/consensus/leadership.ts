import { create } from "@bufbuild/protobuf";
import {
  type AppendResponse,
  EntryKind,
  type PeerMessage,
  TransferRequestSchema,
} from "@teaselrouter/messages/control.ts";
import type { MemberLog } from "./member_log.ts";
import type { MissedMembers } from "./missed_members.ts";
import type { RaftOptions } from "./raft_options.ts";
import type { RaftOutbox } from "./raft_outbox.ts";
import { Replicator } from "./replicator.ts";

const EMPTY_DATA = new Uint8Array(0);

type Options = {
  raftOptions: RaftOptions;
  term: number;
  memberLog: MemberLog;
  outbox: RaftOutbox;
  createMessage: (to: string, body: PeerMessage["body"]) => PeerMessage;
  /** As told by the leaders before this one. */
  missed: MissedMembers;
  now: number;
};

/** A member's state while it leads one term. */
export class Leadership {
  #options: Options;
  #replicator: Replicator;
  #nextHeartbeatAt = 0;
  #transferTargetId = "";
  #transferDeadline = 0;

  constructor(options: Options) {
    const { raftOptions, memberLog, outbox, createMessage, missed, now } =
      options;
    this.#options = options;
    this.#replicator = new Replicator({
      selfId: raftOptions.id,
      log: memberLog.log,
      membership: memberLog.membership,
      send: (to, body) => outbox.sendNow(createMessage(to, body)),
      snapshot: () => memberLog.snapshot,
      missed,
      contactMilliseconds: raftOptions.electionTimeoutMilliseconds,
      now,
    });
    this.append(EntryKind.BLANK, EMPTY_DATA);
    this.replicate(now);
  }

  /** Whether a majority has answered within the election timeout. */
  hasQuorumContact(now: number): boolean {
    return this.#replicator.hasQuorumContact(now);
  }

  /**
   * Whether a majority has answered within the election timeout and no
   * leadership transfer is in progress. A transfer completes only when its
   * target has all entries, and new ones would delay that.
   */
  acceptsProposals(now: number): boolean {
    return this.hasQuorumContact(now) && this.#transferTargetId === "";
  }

  get regressedMembers(): string[] {
    return this.#replicator.regressedMembers;
  }

  get confirmedRound(): number {
    return this.#replicator.confirmedRound();
  }

  get startedAt(): number {
    return this.#replicator.startedAt;
  }

  heardAt(id: string): number {
    return this.#replicator.heardAt(id);
  }

  matchIndexOf(id: string): number {
    return this.#replicator.matchIndexOf(id);
  }

  append(kind: EntryKind, data: Uint8Array): number {
    const { memberLog, term } = this.#options;
    return memberLog.appendNewEntry(term, kind, data);
  }

  tick(now: number): void {
    if (this.#transferTargetId !== "" && now >= this.#transferDeadline) {
      this.#transferTargetId = "";
    }
    if (now >= this.#nextHeartbeatAt) this.replicate(now);
  }

  /**
   * Sends every member the entries it lacks, or a heartbeat; returns the
   * number of this round.
   */
  replicate(now: number): number {
    const { raftOptions, memberLog } = this.#options;
    this.#nextHeartbeatAt = now + raftOptions.heartbeatIntervalMilliseconds;
    return this.#replicator.broadcast(memberLog.commitIndex, now);
  }

  handleAppendResponse(
    from: string,
    response: AppendResponse,
    now: number,
  ): void {
    this.#replicator.handleAppendResponse(from, response, now);
    this.advanceCommit();
    const { commitIndex } = this.#options.memberLog;
    this.#replicator.sendIfLagging(from, commitIndex, now);
    this.#requestTransferIfCaughtUp();
  }

  /**
   * Commits the entries that a majority holds. An entry of an older term can
   * still be replaced when a majority holds it, so it is committed only
   * together with a later entry of this term.
   */
  advanceCommit(): void {
    const { memberLog, term } = this.#options;
    const index = this.#replicator.majorityIndex(memberLog.syncedIndex);
    if (memberLog.log.termAt(index) === term) memberLog.commitTo(index);
  }

  /**
   * Starts to transfer leadership to the other voter that holds the most
   * entries, of those that were heard within the election timeout if there are
   * any. Returns false when there is no other voter.
   */
  startTransfer(now: number): boolean {
    const { raftOptions, memberLog } = this.#options;
    const { electionTimeoutMilliseconds } = raftOptions;
    const isRunning = (id: string) =>
      now - this.heardAt(id) <= electionTimeoutMilliseconds;
    const others = memberLog.membership.voters
      .filter(({ id }) => id !== raftOptions.id)
      .sort((left, right) =>
        Number(isRunning(right.id)) - Number(isRunning(left.id)) ||
        this.matchIndexOf(right.id) - this.matchIndexOf(left.id)
      );
    const target = others[0];
    if (target === undefined) return false;
    this.#transferTargetId = target.id;
    this.#transferDeadline = now + raftOptions.electionTimeoutMilliseconds;
    this.#requestTransferIfCaughtUp();
    return true;
  }

  #requestTransferIfCaughtUp(): void {
    const target = this.#transferTargetId;
    const { memberLog, outbox, createMessage } = this.#options;
    if (target === "" || this.matchIndexOf(target) < memberLog.log.lastIndex) {
      return;
    }
    const value = create(TransferRequestSchema);
    outbox.sendAfterSync(
      createMessage(target, { case: "transferRequest", value }),
    );
  }
}
