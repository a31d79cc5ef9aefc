import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type { Command } from "@teaselrouter/core/state/command.ts";
import type { TimelineRing } from "@teaselrouter/core/timeline/timeline_ring.ts";
import type {
  ControlToEntry,
  EntryReport,
  EntryToControl,
  Proposal,
} from "@teaselrouter/messages/control.ts";
import {
  ControlToEntrySchema,
  ProposalOutcome as WireOutcome,
  ProposalResultSchema,
} from "@teaselrouter/messages/control.ts";
import { interval, Subject, Subscription } from "rxjs";
import type { ControlHost } from "./control_host.ts";
import type { ProposalOutcome } from "./proposal_outcome.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const SILENCE_CHECK_MILLISECONDS = 1_000;
const SILENCE_TIMEOUT_MILLISECONDS = 5_000;

type Options = {
  control: ControlHost;
  timeline: TimelineRing;
  leaderAddress: () => string;
};

/**
 * Whether the sender of a command waits until every entry host with a lease has
 * applied it.
 */
function waitsUntilInForce(command: Command): boolean {
  return command.kind === "change-contract" ||
    command.kind === "publish-weights" || command.kind === "drain-backend";
}

/** The control host's side of one entry host's stream. */
export class EntrySession {
  readonly outgoing$ = new Subject<ControlToEntry>();
  #options: Options;
  #host = "";
  #lastMessageAt = monotonicMilliseconds();
  #subscriptions = new Subscription();

  constructor(options: Options) {
    this.#options = options;
  }

  handleMessage(message: EntryToControl): void {
    this.#lastMessageAt = monotonicMilliseconds();
    this.#options.timeline.observe(Date.now(), {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    const { body } = message;
    switch (body.case) {
      case "hello":
        this.#host = body.value.host;
        this.#startSending(body.value.cursor);
        return;
      case "report":
        return this.#handleReport(body.value);
      case "proposal":
        this.#handleProposal(body.value);
        return;
    }
  }

  close(): void {
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
  }

  #startSending(cursor: number): void {
    const { control } = this.#options;
    const earlier = control.commandsAfter(cursor);
    if (earlier === undefined) this.#sendState();
    else for (const command of earlier) this.#sendCommand(command);
    this.#subscriptions.add(
      control.commands$.subscribe((command) => this.#sendCommand(command)),
    );
    this.#subscriptions.add(
      control.stateReplaced$.subscribe(() => this.#sendState()),
    );
    this.#subscriptions.add(
      interval(SILENCE_CHECK_MILLISECONDS).subscribe(() =>
        this.#closeIfSilent()
      ),
    );
    this.#subscriptions.add(
      control.leadership$.subscribe(() => this.#sendStatus(0)),
    );
    this.#sendStatus(0);
  }

  /**
   * Closes the session of an entry host that sent nothing for 5 s. Without
   * this, the session of a disconnected host would be kept, and written to,
   * forever.
   */
  #closeIfSilent(): void {
    const isSilent = monotonicMilliseconds() - this.#lastMessageAt >
      SILENCE_TIMEOUT_MILLISECONDS;
    if (isSilent) this.close();
  }

  #handleReport(report: EntryReport): void {
    const { control } = this.#options;
    const now = monotonicMilliseconds();
    const allotter = control.getAllotter(now);
    if (allotter === undefined) return this.#sendStatus(0);
    const allotment = allotter.recordReport(control.state, {
      host: this.#host,
      appliedIndex: report.appliedIndex,
      allotmentSequence: report.allotmentSequence,
      demands: report.demands,
    }, now);
    control.checkInForce(now);
    this.#sendStatus(report.sequence);
    if (allotment.rates.length === 0) return;
    this.#send({
      case: "allotment",
      value: {
        sequence: allotment.sequence,
        reportSequence: report.sequence,
        grantMilliseconds: allotment.grantMilliseconds,
        capMilliseconds: allotment.capMilliseconds,
        allotments: allotment.rates,
      },
    });
  }

  async #handleProposal(proposal: Proposal): Promise<void> {
    const { control } = this.#options;
    const { number, command } = proposal;
    if (command.length === 0) {
      return this.#sendResult(number, await control.read());
    }
    const parsed = JSON.parse(new TextDecoder().decode(command)) as Command;
    const outcome = await control.propose(parsed, {
      untilInForce: waitsUntilInForce(parsed),
    });
    this.#sendResult(number, outcome);
  }

  #sendResult(number: number, outcome: ProposalOutcome): void {
    if (outcome.kind !== "committed") {
      const unknown = outcome.kind === "unknown";
      return this.#send({
        case: "result",
        value: create(ProposalResultSchema, {
          number,
          outcome: unknown ? WireOutcome.UNKNOWN : WireOutcome.NOT_PROPOSED,
        }),
      });
    }
    this.#send({
      case: "result",
      value: {
        number,
        outcome: WireOutcome.COMMITTED,
        index: outcome.index,
        answer: new TextEncoder().encode(JSON.stringify(outcome.result)),
        inForce: outcome.inForce,
        hostsWithoutLease: outcome.hostsWithoutLease,
      },
    });
  }

  #sendState(): void {
    const { control } = this.#options;
    const index = control.state.appliedIndex;
    const state = control.encodeForEntryHosts();
    this.#send({ case: "state", value: { index, state } });
  }

  #sendCommand(command: { index: number; bytes: Uint8Array }): void {
    this.#send({
      case: "command",
      value: { index: command.index, command: command.bytes },
    });
  }

  #sendStatus(reportSequence: number): void {
    const { control, leaderAddress } = this.#options;
    this.#send({
      case: "status",
      value: {
        leading: control.isLeading(monotonicMilliseconds()),
        leaderAddress: leaderAddress(),
        // All commands for entry hosts up to this index were sent before this
        // status.
        commitIndex: control.state.appliedIndex,
        term: control.node.term,
        memberId: control.node.id,
        reportSequence,
      },
    });
  }

  #send(body: MessageInitShape<typeof ControlToEntrySchema>["body"]): void {
    const clock = this.#options.timeline.stampMessage(Date.now());
    this.outgoing$.next(create(ControlToEntrySchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }
}
