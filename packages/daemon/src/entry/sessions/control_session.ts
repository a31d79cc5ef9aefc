import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { decodeControlState } from "@teaselrouter/core/state/decode_control_state.ts";
import { emptyControlState } from "@teaselrouter/core/state/empty_control_state.ts";
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
import { pause } from "../../transport/pause.ts";
import { toAsyncIterable } from "../../transport/to_async_iterable.ts";
import type { ProposalReply } from "./proposal_reply.ts";
import { ProposalWaiters } from "./proposal_waiters.ts";
import type { Proposer } from "./proposer.ts";
import { ReportLedger } from "./report_ledger.ts";

const HEARTBEAT_MILLISECONDS = 400;
const SILENT_MILLISECONDS = 1_200;
const LEADERLESS_MILLISECONDS = 1_000;
const RECONNECT_MILLISECONDS = 50;
const PROPOSAL_MILLISECONDS = 8_000;
const RETRY_MILLISECONDS = 100;

type Options = {
  hello: {
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

/** An entry host's stream to the control hosts: follows, reports, proposes. */
export class ControlSession implements Proposer {
  /** After every change of the tables. */
  readonly changed$ = new Subject<ControlState>();
  /** Allotments with the time that their report was sent. */
  readonly allotted$ = new Subject<{ allotment: Allotment; sentAt: number }>();
  state: ControlState = emptyControlState();
  #options: Options;
  #outgoing: Subject<EntryToControl> | undefined;
  #leading = false;
  #leaderAddress = "";
  #address = "";
  #term = 0;
  #heardAt = 0;
  #followedAt = 0;
  #leave = () => {};
  #allotmentSequence = 0;
  #reports = new ReportLedger();
  #proposals = new ProposalWaiters();
  #stopped = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MILLISECONDS);
    this.#run();
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
    this.#outgoing?.complete();
  }

  /** Address of the control host that is followed; empty for none. */
  get leader(): string {
    return this.#leading ? this.#address : "";
  }

  get term(): number {
    return this.#term;
  }

  /** Whether a leader confirmed this host's reports lately. */
  hasLease(now: number): boolean {
    return this.#reports.hasLease(now);
  }

  /**
   * Proposes until there is an outcome, to each new leader, until
   * `milliseconds` have passed. Every command is idempotent, so one whose
   * fate is not known may be proposed again.
   */
  async propose(
    command: Command | undefined,
    milliseconds = PROPOSAL_MILLISECONDS,
  ): Promise<ProposalReply> {
    const until = Date.now() + milliseconds;
    let inDoubt = false;
    while (true) {
      const reply = await this.#proposeOnce(command, until - Date.now());
      if (reply.kind === "committed") return reply;
      inDoubt ||= reply.kind === "unknown";
      const mayRepeat = !this.#stopped && this.#isLeaderLikely() &&
        Date.now() + RETRY_MILLISECONDS < until;
      if (!mayRepeat) return { kind: inDoubt ? "unknown" : "not-proposed" };
      await pause(RETRY_MILLISECONDS);
    }
  }

  /** Confirms with the leader that the tables here are current. */
  async readCurrent(): Promise<boolean> {
    const reply = await this.propose(undefined, PROPOSAL_MILLISECONDS / 2);
    return reply.kind === "committed";
  }

  /**
   * A host that has had no lease for a while is cut off: it refuses at once
   * instead of letting callers wait for a leader that can't be reached.
   */
  #isLeaderLikely(): boolean {
    return this.#reports.hadLeaseLately(Date.now());
  }

  #proposeOnce(
    command: Command | undefined,
    milliseconds: number,
  ): Promise<ProposalReply> {
    if (this.#outgoing === undefined || !this.#leading) {
      return Promise.resolve({ kind: "not-proposed" });
    }
    const { number, reply } = this.#proposals.add(milliseconds);
    const bytes = command === undefined
      ? new Uint8Array(0)
      : new TextEncoder().encode(JSON.stringify(command));
    this.#send({ case: "proposal", value: { number, command: bytes } });
    return reply;
  }

  async #run(): Promise<void> {
    let next = 0;
    while (!this.#stopped) {
      const { controlHosts } = this.#options;
      const leader = this.#leaderAddress;
      const address = controlHosts.includes(leader) && leader !== ""
        ? leader
        : controlHosts[next % controlHosts.length]!;
      next += 1;
      this.#leaderAddress = "";
      await this.#follow(address);
      if (!this.#stopped) await pause(RECONNECT_MILLISECONDS);
    }
  }

  async #follow(address: string): Promise<void> {
    const outgoing = new Subject<EntryToControl>();
    const stop = new AbortController();
    this.#leave = () => stop.abort();
    this.#followedAt = Date.now();
    this.#outgoing = outgoing;
    this.#address = address;
    this.#heardAt = Date.now();
    const client = this.#options.clients.client(ControlService, address);
    const watch = setInterval(() => {
      if (this.#isToBeLeft()) stop.abort();
    }, HEARTBEAT_MILLISECONDS);
    try {
      const incoming = client.session(
        toAsyncIterable(outgoing.pipe(startWith(this.#hello()))),
        { signal: stop.signal },
      );
      for await (const message of incoming) this.#take(message);
    } catch {
      this.#options.clients.renew(address);
    } finally {
      clearInterval(watch);
      outgoing.complete();
      this.#lose();
    }
  }

  /** Silent, or for long without a leader: another host may know one. */
  #isToBeLeft(): boolean {
    if (this.#stopped) return true;
    if (Date.now() - this.#heardAt > SILENT_MILLISECONDS) return true;
    return !this.#leading &&
      Date.now() - this.#followedAt > LEADERLESS_MILLISECONDS;
  }

  #lose(): void {
    this.#leading = false;
    this.#outgoing = undefined;
    this.#proposals.loseAll();
  }

  #hello(): EntryToControl {
    return create(EntryToControlSchema, {
      body: {
        case: "hello",
        value: { ...this.#options.hello, cursor: this.state.appliedIndex },
      },
    });
  }

  #take(message: ControlToEntry): void {
    this.#heardAt = Date.now();
    this.#options.log.ring.observe(this.#heardAt, {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    const { body } = message;
    switch (body.case) {
      case "status":
        return this.#takeStatus(body.value);
      case "state":
        return this.#takeState(body.value.index, body.value.state);
      case "command":
        return this.#takeCommand(body.value.index, body.value.command);
      case "result":
        return this.#proposals.settle(body.value.number, replyOf(body.value));
      case "allotment":
        return this.#takeAllotment(body.value);
    }
  }

  #takeStatus(status: ControlStatus): void {
    if (status.leading !== this.#leading) {
      this.#leading = status.leading;
      if (status.leading) this.#beat();
    }
    this.#leaderAddress = status.leaderAddress;
    if (this.#knowsBetter(status)) this.#leave();
    this.#term = status.term;
    const { state } = this;
    state.appliedIndex = Math.max(state.appliedIndex, status.commitIndex);
    if (status.leading) this.#reports.confirm(status.reportSequence);
  }

  /** Another control host leads: no need to wait for silence here. */
  #knowsBetter({ leading, leaderAddress }: ControlStatus): boolean {
    return !leading && leaderAddress !== "" &&
      leaderAddress !== this.#address &&
      this.#options.controlHosts.includes(leaderAddress);
  }

  /** A control host that lags may install a snapshot older than what stands. */
  #takeState(index: number, bytes: Uint8Array): void {
    if (index < this.state.appliedIndex) return;
    this.state = decodeControlState(bytes);
    this.#applied();
  }

  #takeCommand(index: number, bytes: Uint8Array): void {
    if (index <= this.state.appliedIndex) return;
    const command = JSON.parse(new TextDecoder().decode(bytes)) as Command;
    applyCommand(this.state, command, index);
    this.#applied();
  }

  /** Reports at once: an operator waits until every host has applied it. */
  #applied(): void {
    this.changed$.next(this.state);
    this.#beat();
  }

  #takeAllotment(allotment: Allotment): void {
    const sentAt = this.#reports.sentAt(allotment.reportSequence);
    if (sentAt === undefined) return;
    if (allotment.sequence <= this.#allotmentSequence) return;
    this.allotted$.next({ allotment, sentAt });
    this.#allotmentSequence = allotment.sequence;
  }

  #beat(): void {
    if (this.#outgoing === undefined) return;
    this.#send({
      case: "report",
      value: {
        sequence: this.#reports.send(Date.now()),
        appliedIndex: this.state.appliedIndex,
        demands: this.#options.demands(),
        allotmentSequence: this.#allotmentSequence,
      },
    });
  }

  #send(body: MessageInitShape<typeof EntryToControlSchema>["body"]): void {
    const clock = this.#options.log.ring.now(Date.now());
    this.#outgoing?.next(create(EntryToControlSchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }
}

function replyOf(result: ProposalResult): ProposalReply {
  switch (result.outcome) {
    case ProposalOutcome.COMMITTED:
      return {
        kind: "committed",
        index: result.index,
        answer: JSON.parse(new TextDecoder().decode(result.answer)),
        inForce: result.inForce,
        hostsWithoutLease: result.hostsWithoutLease,
      };
    case ProposalOutcome.NOT_PROPOSED:
      return { kind: "not-proposed" };
    default:
      return { kind: "unknown" };
  }
}
