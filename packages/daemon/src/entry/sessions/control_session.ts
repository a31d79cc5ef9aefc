import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { decodeControlState } from "@teaselrouter/core/state/decode_control_state.ts";
import { createEmptyControlState } from "@teaselrouter/core/state/create_empty_control_state.ts";
import type {
  Allotment,
  ControlStatus,
  ControlToEntry,
  EntryToControl,
  ProposalResult,
} from "@teaselrouter/messages/control.ts";
import {
  ControlService,
  EntryToControlSchema,
  ProposalOutcome,
} from "@teaselrouter/messages/control.ts";
import { startWith, Subject } from "rxjs";
import type { EventLog } from "../../log/event_log.ts";
import type { ClientPool } from "../../transport/client_pool.ts";
import { sleep } from "../../transport/sleep.ts";
import { toAsyncIterable } from "../../transport/to_async_iterable.ts";
import type { ProposalReply } from "./proposal_reply.ts";
import { PendingProposals } from "./pending_proposals.ts";
import type { Proposer } from "./proposer.ts";
import { ReportTracker } from "./report_tracker.ts";

const HEARTBEAT_INTERVAL_MILLISECONDS = 400;
const SILENCE_TIMEOUT_MILLISECONDS = 1_200;
const NO_LEADER_TIMEOUT_MILLISECONDS = 1_000;
const RECONNECT_DELAY_MILLISECONDS = 50;
const PROPOSAL_TIMEOUT_MILLISECONDS = 8_000;
const PROPOSAL_RETRY_DELAY_MILLISECONDS = 100;

type Options = {
  identity: {
    host: string;
    dataCentre: string;
    incarnation: string;
    publicAddress: string;
    internalAddress: string;
  };
  controlHosts: string[];
  clients: ClientPool;
  log: EventLog;
  demands: () => { workspace: string; rate: number }[];
};

/**
 * An entry host's stream to one control host at a time. Applies the commands
 * that arrive on the stream to a copy of the replicated tables, reports demand
 * and progress to the leader, and proposes commands.
 */
export class ControlSession implements Proposer {
  /** Emits after every change of the tables. */
  readonly changed$ = new Subject<ControlState>();
  /** Emits allotments with the time at which the report they answer was sent. */
  readonly allotted$ = new Subject<{ allotment: Allotment; sentAt: number }>();
  state: ControlState = createEmptyControlState();
  #options: Options;
  #outgoing: Subject<EntryToControl> | undefined;
  #isConnectedToLeader = false;
  #leaderAddress = "";
  #controlHostAddress = "";
  #term = 0;
  #lastMessageAt = 0;
  #connectedAt = 0;
  #disconnect = () => {};
  #allotmentSequence = 0;
  #reports = new ReportTracker();
  #pendingProposals = new PendingProposals();
  #isStopped = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#sendReport(),
      HEARTBEAT_INTERVAL_MILLISECONDS,
    );
    this.#runConnections();
  }

  stop(): void {
    this.#isStopped = true;
    clearInterval(this.#timer);
    this.#outgoing?.complete();
  }

  /** Address of the connected control host if it is the leader, else empty. */
  get leader(): string {
    return this.#isConnectedToLeader ? this.#controlHostAddress : "";
  }

  get term(): number {
    return this.#term;
  }

  /** Whether a leader confirmed one of this host's reports recently enough. */
  hasLease(now: number): boolean {
    return this.#reports.hasLease(now);
  }

  /**
   * Sends the command to the leader until it is committed, `milliseconds` have
   * passed, or the leader seems unreachable; each retry goes to the leader
   * connected at that time. Every command is idempotent, so one whose outcome
   * is unknown may be sent again. Without a command, the leader only confirms
   * that it still leads; a "committed" reply then means that the tables here
   * are current.
   */
  async propose(
    command: Command | undefined,
    milliseconds = PROPOSAL_TIMEOUT_MILLISECONDS,
  ): Promise<ProposalReply> {
    const until = Date.now() + milliseconds;
    let isInDoubt = false;
    while (true) {
      const reply = await this.#proposeOnce(command, until - Date.now());
      if (reply.kind === "committed") return reply;
      isInDoubt ||= reply.kind === "unknown";
      const canRetry = !this.#isStopped && this.#isLeaderLikelyReachable() &&
        Date.now() + PROPOSAL_RETRY_DELAY_MILLISECONDS < until;
      if (!canRetry) return { kind: isInDoubt ? "unknown" : "not-proposed" };
      await sleep(PROPOSAL_RETRY_DELAY_MILLISECONDS);
    }
  }

  /** Asks the leader to confirm that the tables here are current. */
  async confirmStateIsCurrent(): Promise<boolean> {
    const reply = await this.propose(
      undefined,
      PROPOSAL_TIMEOUT_MILLISECONDS / 2,
    );
    return reply.kind === "committed";
  }

  /**
   * A host that has had no lease for a while is cut off from the leader. Its
   * proposals are not retried, so that callers don't wait for a leader that
   * can't be reached.
   */
  #isLeaderLikelyReachable(): boolean {
    return this.#reports.hadLeaseRecently(Date.now());
  }

  #proposeOnce(
    command: Command | undefined,
    milliseconds: number,
  ): Promise<ProposalReply> {
    if (this.#outgoing === undefined || !this.#isConnectedToLeader) {
      return Promise.resolve({ kind: "not-proposed" });
    }
    const { number, reply } = this.#pendingProposals.add(milliseconds);
    const bytes = command === undefined
      ? new Uint8Array(0)
      : new TextEncoder().encode(JSON.stringify(command));
    this.#send({ case: "proposal", value: { number, command: bytes } });
    return reply;
  }

  /**
   * Connects to one control host after another: to the leader that the previous
   * one named, or to the next one in the list.
   */
  async #runConnections(): Promise<void> {
    let next = 0;
    while (!this.#isStopped) {
      const { controlHosts } = this.#options;
      const leader = this.#leaderAddress;
      const address = controlHosts.includes(leader) && leader !== ""
        ? leader
        : controlHosts[next % controlHosts.length]!;
      next += 1;
      this.#leaderAddress = "";
      await this.#runConnection(address);
      if (!this.#isStopped) await sleep(RECONNECT_DELAY_MILLISECONDS);
    }
  }

  /** Keeps a stream to one control host until it ends or is given up. */
  async #runConnection(address: string): Promise<void> {
    const outgoing = new Subject<EntryToControl>();
    const abortController = new AbortController();
    this.#disconnect = () => abortController.abort();
    this.#connectedAt = Date.now();
    this.#outgoing = outgoing;
    this.#controlHostAddress = address;
    this.#lastMessageAt = Date.now();
    const client = this.#options.clients.client(ControlService, address);
    const watchTimer = setInterval(() => {
      if (this.#shouldDisconnect()) abortController.abort();
    }, HEARTBEAT_INTERVAL_MILLISECONDS);
    try {
      const incoming = client.session(
        toAsyncIterable(outgoing.pipe(startWith(this.#createHello()))),
        { signal: abortController.signal },
      );
      for await (const message of incoming) this.#handleMessage(message);
    } catch {
      this.#options.clients.dropConnection(address);
    } finally {
      clearInterval(watchTimer);
      outgoing.complete();
      this.#handleDisconnect();
    }
  }

  /**
   * Whether to give up the connected control host: it has been silent, or has
   * not been the leader, for too long. Another control host may know a leader.
   */
  #shouldDisconnect(): boolean {
    if (this.#isStopped) return true;
    if (
      Date.now() - this.#lastMessageAt > SILENCE_TIMEOUT_MILLISECONDS
    ) return true;
    return !this.#isConnectedToLeader &&
      Date.now() - this.#connectedAt > NO_LEADER_TIMEOUT_MILLISECONDS;
  }

  #handleDisconnect(): void {
    this.#isConnectedToLeader = false;
    this.#outgoing = undefined;
    this.#pendingProposals.settleAllAsUnknown();
  }

  #createHello(): EntryToControl {
    return create(EntryToControlSchema, {
      body: {
        case: "hello",
        value: { ...this.#options.identity, cursor: this.state.appliedIndex },
      },
    });
  }

  #handleMessage(message: ControlToEntry): void {
    this.#lastMessageAt = Date.now();
    this.#options.log.timeline.observe(this.#lastMessageAt, {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    const { body } = message;
    switch (body.case) {
      case "status":
        return this.#handleStatus(body.value);
      case "state":
        return this.#handleState(body.value.index, body.value.state);
      case "command":
        return this.#handleCommand(body.value.index, body.value.command);
      case "result":
        return this.#pendingProposals.settle(
          body.value.number,
          toProposalReply(body.value),
        );
      case "allotment":
        return this.#handleAllotment(body.value);
    }
  }

  #handleStatus(status: ControlStatus): void {
    if (status.leading !== this.#isConnectedToLeader) {
      this.#isConnectedToLeader = status.leading;
      if (status.leading) this.#sendReport();
    }
    this.#leaderAddress = status.leaderAddress;
    if (this.#namesAnotherLeader(status)) this.#disconnect();
    this.#term = status.term;
    const { state } = this;
    state.appliedIndex = Math.max(state.appliedIndex, status.commitIndex);
    if (status.leading) this.#reports.confirm(status.reportSequence);
  }

  /**
   * Whether the connected control host names another one as the leader. Then
   * there is no need to wait for the no-leader timeout.
   */
  #namesAnotherLeader({ leading, leaderAddress }: ControlStatus): boolean {
    return !leading && leaderAddress !== "" &&
      leaderAddress !== this.#controlHostAddress &&
      this.#options.controlHosts.includes(leaderAddress);
  }

  /** A control host that lags may send a snapshot older than the tables here. */
  #handleState(index: number, bytes: Uint8Array): void {
    if (index < this.state.appliedIndex) return;
    this.state = decodeControlState(bytes);
    this.#publishState();
  }

  #handleCommand(index: number, bytes: Uint8Array): void {
    if (index <= this.state.appliedIndex) return;
    const command = JSON.parse(new TextDecoder().decode(bytes)) as Command;
    applyCommand(this.state, command, index);
    this.#publishState();
  }

  /**
   * Also reports at once, with the applied index: an operator's change waits
   * until every entry host has applied it.
   */
  #publishState(): void {
    this.changed$.next(this.state);
    this.#sendReport();
  }

  #handleAllotment(allotment: Allotment): void {
    const sentAt = this.#reports.sentAt(allotment.reportSequence);
    if (sentAt === undefined) return;
    if (allotment.sequence <= this.#allotmentSequence) return;
    this.allotted$.next({ allotment, sentAt });
    this.#allotmentSequence = allotment.sequence;
  }

  #sendReport(): void {
    if (this.#outgoing === undefined) return;
    this.#send({
      case: "report",
      value: {
        sequence: this.#reports.recordSend(Date.now()),
        appliedIndex: this.state.appliedIndex,
        demands: this.#options.demands(),
        allotmentSequence: this.#allotmentSequence,
      },
    });
  }

  #send(body: MessageInitShape<typeof EntryToControlSchema>["body"]): void {
    const clock = this.#options.log.timeline.stampMessage(Date.now());
    this.#outgoing?.next(create(EntryToControlSchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }
}

function toProposalReply(result: ProposalResult): ProposalReply {
  switch (result.outcome) {
    case ProposalOutcome.COMMITTED:
      return {
        kind: "committed",
        index: result.index,
        result: JSON.parse(new TextDecoder().decode(result.answer)),
        inForce: result.inForce,
        hostsWithoutLease: result.hostsWithoutLease,
      };
    case ProposalOutcome.NOT_PROPOSED:
      return { kind: "not-proposed" };
    default:
      return { kind: "unknown" };
  }
}
