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

const WATCH_MILLISECONDS = 1_000;
const SILENT_MILLISECONDS = 5_000;

type Options = {
  control: ControlHost;
  ring: TimelineRing;
  leaderAddress: () => string;
};

/** Commands whose sender waits until they are in force everywhere. */
function waitsUntilInForce(command: Command): boolean {
  return command.kind === "change-contract" ||
    command.kind === "publish-weights" || command.kind === "drain-backend";
}

/** The control side of one entry host's stream. */
export class EntrySession {
  readonly outgoing$ = new Subject<ControlToEntry>();
  #options: Options;
  #host = "";
  #heardAt = monotonicMilliseconds();
  #subscriptions = new Subscription();

  constructor(options: Options) {
    this.#options = options;
  }

  take(message: EntryToControl): void {
    this.#heardAt = monotonicMilliseconds();
    this.#options.ring.observe(Date.now(), {
      time: message.clockTime,
      counter: message.clockCounter,
    });
    const { body } = message;
    switch (body.case) {
      case "hello":
        this.#host = body.value.host;
        this.#follow(body.value.cursor);
        return;
      case "report":
        return this.#takeReport(body.value);
      case "proposal":
        this.#takeProposal(body.value);
        return;
    }
  }

  close(): void {
    this.#subscriptions.unsubscribe();
    this.outgoing$.complete();
  }

  #follow(cursor: number): void {
    const { control } = this.#options;
    const earlier = control.followedAfter(cursor);
    if (earlier === undefined) this.#sendState();
    else for (const followed of earlier) this.#sendCommand(followed);
    this.#subscriptions.add(
      control.followed$.subscribe((followed) => this.#sendCommand(followed)),
    );
    this.#subscriptions.add(
      control.replaced$.subscribe(() => this.#sendState()),
    );
    this.#subscriptions.add(
      interval(WATCH_MILLISECONDS).subscribe(() => this.#watch()),
    );
    this.#subscriptions.add(
      control.leadership$.subscribe(() => this.#sendStatus(0)),
    );
    this.#sendStatus(0);
  }

  /** An entry host that was cut off would be kept for, and sent to, forever. */
  #watch(): void {
    const silent =
      monotonicMilliseconds() - this.#heardAt > SILENT_MILLISECONDS;
    if (silent) this.close();
  }

  #takeReport(report: EntryReport): void {
    const { control } = this.#options;
    const now = monotonicMilliseconds();
    const allotter = control.allotter(now);
    if (allotter === undefined) return this.#sendStatus(0);
    const allotment = allotter.takeReport(control.state, {
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

  async #takeProposal(proposal: Proposal): Promise<void> {
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
        answer: new TextEncoder().encode(JSON.stringify(outcome.answer)),
        inForce: outcome.inForce,
        hostsWithoutLease: outcome.hostsWithoutLease,
      },
    });
  }

  #sendState(): void {
    const { control } = this.#options;
    const index = control.state.appliedIndex;
    const state = control.encodeForFollowers();
    this.#send({ case: "state", value: { index, state } });
  }

  #sendCommand(followed: { index: number; bytes: Uint8Array }): void {
    this.#send({
      case: "command",
      value: { index: followed.index, command: followed.bytes },
    });
  }

  #sendStatus(reportSequence: number): void {
    const { control, leaderAddress } = this.#options;
    this.#send({
      case: "status",
      value: {
        leading: control.isLeading(monotonicMilliseconds()),
        leaderAddress: leaderAddress(),
        // Everything followed up to here has been sent before this.
        commitIndex: control.state.appliedIndex,
        term: control.node.term,
        memberId: control.node.id,
        reportSequence,
      },
    });
  }

  #send(body: MessageInitShape<typeof ControlToEntrySchema>["body"]): void {
    const clock = this.#options.ring.now(Date.now());
    this.outgoing$.next(create(ControlToEntrySchema, {
      body,
      clockTime: clock.time,
      clockCounter: clock.counter,
    }));
  }
}
