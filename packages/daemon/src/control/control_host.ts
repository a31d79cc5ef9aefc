import type { RaftNode } from "@teaselrouter/core/consensus/raft_node.ts";
import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import { readDepartures } from "@teaselrouter/core/departures/read_departures.ts";
import { LimitAllotter } from "@teaselrouter/core/limits/limit_allotter.ts";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { decodeControlState } from "@teaselrouter/core/state/decode_control_state.ts";
import { encodeControlState } from "@teaselrouter/core/state/encode_control_state.ts";
import { isSentToEntryHosts } from "@teaselrouter/core/state/is_sent_to_entry_hosts.ts";
import {
  EntryKind,
  type LogEntry,
  type Membership,
  type SnapshotData,
} from "@teaselrouter/messages/control.ts";
import { type Observable, Subject } from "rxjs";
import type { EventLog } from "../log/event_log.ts";
import { InForceWaiters } from "./in_force_waiters.ts";
import type { ProposalOutcome } from "./proposal_outcome.ts";
import type { RaftDriver } from "./raft_driver.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const PROPOSAL_TIMEOUT_MILLISECONDS = 5_000;
const READ_POLL_MILLISECONDS = 5;
const MAX_RECENT_COMMANDS = 4_096;
/** An entry host's lease of 1,500 ms plus 100 ms for the network. */
const PREDECESSOR_LEASE_MILLISECONDS = 1_600;

/** Commands that change what followers are told of the replicated state. */
const CONFIGURATION_KINDS: ReadonlySet<Command["kind"]> = new Set([
  "replace-routing",
  "name-weights",
  "order-evacuation",
]);

type PendingProposal = {
  term: number;
  resolve: (outcome: ProposalOutcome) => void;
};
type EntryHostCommand = { index: number; bytes: Uint8Array };

/**
 * The replicated state of a control host. Applies committed entries and, on
 * the leader, proposes commands and divides limits among the entry hosts.
 */
export class ControlHost {
  /** Emits each command that is sent to entry hosts, once applied here. */
  readonly commands$ = new Subject<EntryHostCommand>();
  /**
   * Emits when the routing configuration, named weights or evacuations may have
   * changed.
   */
  readonly configurationChanged$ = new Subject<void>();
  /**
   * Emits when a snapshot replaced the state; entry hosts are then sent all of
   * it.
   */
  readonly stateReplaced$ = new Subject<void>();
  /**
   * Emits departures of backend servers that this host has stored. They are
   * facts, so those of an entry that no leader has confirmed yet count, too.
   */
  readonly departures$ = new Subject<Departure[]>();
  readonly node: RaftNode;
  #driver: RaftDriver;
  #log: EventLog;
  #state: ControlState;
  #pendingProposals = new Map<number, PendingProposal>();
  /**
   * Configurations that are being committed, which operators send again
   * meanwhile: each would be stored, and sent to all members, once more.
   */
  #routingUnderWay = new Map<string, Promise<ProposalOutcome>>();
  #recentCommands: EntryHostCommand[] = [];
  /** `#recentCommands` holds all commands for entry hosts after this index. */
  #recentCommandsAfter: number;
  #allotter: LimitAllotter | undefined;
  /** When the allotter was created, monotonic milliseconds. */
  #leadingSince = 0;
  #inForceWaiters = new InForceWaiters();

  constructor(
    options: { node: RaftNode; driver: RaftDriver; log: EventLog },
    state: ControlState,
  ) {
    this.node = options.node;
    this.#driver = options.driver;
    this.#log = options.log;
    this.#state = state;
    this.#recentCommandsAfter = state.appliedIndex;
    // Creates the allotter as soon as this host leads, because the time that a
    // new leader waits for its predecessor's leases and grants starts there.
    this.#driver.leadership$.subscribe(() =>
      this.getAllotter(monotonicMilliseconds())
    );
    this.#driver.committed$.subscribe((entry) => this.#apply(entry));
    this.#driver.stored$.subscribe((entry) => {
      const departures = departuresIn(entry);
      if (departures.length > 0) this.departures$.next(departures);
    });
    this.#driver.snapshotInstalled$.subscribe((snapshot) =>
      this.#installSnapshot(snapshot)
    );
  }

  get leadership$(): Observable<void> {
    return this.#driver.leadership$;
  }

  /** Address of the leader; empty while none is known. */
  get leaderAddress(): string {
    const { leaderId, membership } = this.node;
    return membership.members.find(({ id }) => id === leaderId)?.address ?? "";
  }

  /**
   * Whether the applied state includes every entry committed before the
   * current leader's term. The first entry of that term follows all of them.
   */
  get isCaughtUp(): boolean {
    return this.node.leaderId !== "" && this.node.hasCommittedOwnTerm &&
      this.#state.appliedIndex >= this.node.commitIndex;
  }

  /** All departures in the tables and in entries that aren't applied yet. */
  storedDepartures(): Departure[] {
    const later = this.node.entriesAfter(this.#state.appliedIndex);
    return [
      ...this.#state.departures.values(),
      ...later.flatMap(departuresIn),
    ];
  }

  get state(): ControlState {
    return this.#state;
  }

  /**
   * Whether this host leads, a majority has answered it recently, and it has
   * committed an entry of its own term, so that it knows all committed entries.
   * Discards the limit allotter if not.
   *
   * @param now monotonic milliseconds
   */
  isLeading(now: number): boolean {
    const leading = this.node.isLeading(now) && this.node.hasCommittedOwnTerm;
    if (!leading) this.#allotter = undefined;
    return leading;
  }

  /**
   * Returns the leader's limit allotter, created and logged as `leading` by the
   * first call while this host leads; undefined when not leading.
   *
   * @param now monotonic milliseconds
   */
  getAllotter(now: number): LimitAllotter | undefined {
    if (!this.isLeading(now)) return undefined;
    if (this.#allotter === undefined) {
      this.#allotter = new LimitAllotter(now, this.node.term);
      this.#leadingSince = now;
      this.#log.info("leading", { term: this.node.term });
    }
    return this.#allotter;
  }

  /**
   * Commands for entry hosts after log index `cursor`; undefined if the whole
   * state must be sent.
   */
  commandsAfter(cursor: number): EntryHostCommand[] | undefined {
    if (cursor < this.#recentCommandsAfter) return undefined;
    return this.#recentCommands.filter((command) => command.index > cursor);
  }

  encodeForEntryHosts(): Uint8Array {
    return encodeControlState(this.#state, { withClaims: false });
  }

  /**
   * Proposes a command. Resolves within 5 s with its outcome, or with
   * `untilInForce` up to 5 s later: once all entry hosts with a lease have
   * applied it, or at the end of that time with `inForce: false`.
   */
  async propose(
    command: Command,
    options: { untilInForce: boolean },
  ): Promise<ProposalOutcome> {
    if (command.kind !== "replace-routing") {
      return await this.#propose(command, options);
    }
    const { term } = this.node;
    const key = `${term} ${command.version} ${command.document}`;
    const underWay = this.#routingUnderWay.get(key) ??
      this.#propose(command, options);
    this.#routingUnderWay.set(key, underWay);
    try {
      return await underWay;
    } finally {
      this.#routingUnderWay.delete(key);
    }
  }

  async #propose(
    command: Command,
    options: { untilInForce: boolean },
  ): Promise<ProposalOutcome> {
    const now = monotonicMilliseconds();
    if (!this.isLeading(now)) return { kind: "not-proposed" };
    // The leader sets the time of every command that has one, Unix
    // milliseconds; what the proposer put there is ignored.
    const stamped = "at" in command ? { ...command, at: Date.now() } : command;
    const bytes = new TextEncoder().encode(JSON.stringify(stamped));
    const index = this.node.propose(bytes, now);
    if (index.isErr) return { kind: "not-proposed" };
    this.#driver.scheduleFlush();
    const outcome = await this.#waitForCommit(index.value);
    if (outcome.kind !== "committed" || !options.untilInForce) return outcome;
    return { ...outcome, ...(await this.#waitUntilInForce(outcome.index)) };
  }

  /** Proposes one membership change. The node shows whether it was accepted. */
  proposeMembership(membership: Membership): void {
    const begun = this.node.proposeMembership(
      membership,
      monotonicMilliseconds(),
    );
    if (begun.isOk) this.#driver.scheduleFlush();
  }

  /**
   * Linearizable read: confirms with a majority that this host still leads and
   * waits until the commit index is applied. `state` is then current.
   */
  async read(): Promise<ProposalOutcome> {
    const readRound = this.node.startReadRound(monotonicMilliseconds());
    if (readRound.isErr) return { kind: "not-proposed" };
    const index = this.node.commitIndex;
    this.#driver.scheduleFlush();
    const deadline = monotonicMilliseconds() + PROPOSAL_TIMEOUT_MILLISECONDS;
    while (
      this.node.confirmedRound < readRound.value ||
      this.#state.appliedIndex < index
    ) {
      if (
        monotonicMilliseconds() > deadline ||
        !this.isLeading(monotonicMilliseconds())
      ) {
        return { kind: "not-proposed" };
      }
      await new Promise((resolve) =>
        setTimeout(resolve, READ_POLL_MILLISECONDS)
      );
    }
    return {
      kind: "committed",
      index,
      result: { accepted: true },
      inForce: true,
      hostsWithoutLease: [],
    };
  }

  /**
   * Resolves the waiting changes that all entry hosts with a lease have
   * applied. Called after each entry host's report.
   *
   * @param now monotonic milliseconds
   */
  checkInForce(now: number): void {
    const allotter = this.getAllotter(now);
    if (allotter === undefined) return;
    const appliedIndexes = allotter.liveHosts(now);
    const unleased = [...this.#state.entryHosts.values()]
      .filter(({ host, stopped }) => !stopped && !appliedIndexes.has(host))
      .map(({ host }) => host);
    // A new leader doesn't know the leases that its predecessor confirmed:
    // wait until they have expired.
    if (
      unleased.length > 0 &&
      now - this.#leadingSince < PREDECESSOR_LEASE_MILLISECONDS
    ) {
      return;
    }
    this.#inForceWaiters.settleApplied(appliedIndexes, unleased);
  }

  #waitForCommit(index: number): Promise<ProposalOutcome> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#pendingProposals.delete(index);
        resolve({ kind: "unknown" });
      }, PROPOSAL_TIMEOUT_MILLISECONDS);
      this.#pendingProposals.set(index, {
        term: this.node.term,
        resolve: (outcome) => {
          clearTimeout(timer);
          resolve(outcome);
        },
      });
    });
  }

  #waitUntilInForce(index: number) {
    const inForce = this.#inForceWaiters.wait(
      index,
      PROPOSAL_TIMEOUT_MILLISECONDS,
    );
    this.checkInForce(monotonicMilliseconds());
    return inForce;
  }

  #apply(entry: LogEntry): void {
    const proposal = this.#pendingProposals.get(entry.index);
    this.#pendingProposals.delete(entry.index);
    if (entry.kind !== EntryKind.COMMAND) {
      this.#state.appliedIndex = entry.index;
      proposal?.resolve({ kind: "not-proposed" });
      return;
    }
    const command = JSON.parse(new TextDecoder().decode(entry.data)) as Command;
    const result = applyCommand(this.#state, command, entry.index);
    if (CONFIGURATION_KINDS.has(command.kind)) {
      this.configurationChanged$.next();
    }
    if (isSentToEntryHosts(command)) {
      this.#publishCommand({ index: entry.index, bytes: entry.data });
    }
    // An entry of another term was committed at this index, so the proposal
    // was lost.
    if (proposal !== undefined && proposal.term !== entry.term) {
      proposal.resolve({ kind: "not-proposed" });
      return;
    }
    proposal?.resolve({
      kind: "committed",
      index: entry.index,
      result,
      inForce: false,
      hostsWithoutLease: [],
    });
  }

  #publishCommand(command: EntryHostCommand): void {
    this.#recentCommands.push(command);
    if (this.#recentCommands.length > MAX_RECENT_COMMANDS) {
      this.#recentCommandsAfter = this.#recentCommands.shift()!.index;
    }
    this.commands$.next(command);
  }

  #installSnapshot(snapshot: SnapshotData): void {
    this.#state = decodeControlState(snapshot.state);
    this.#state.appliedIndex = snapshot.lastIndex;
    this.#recentCommands = [];
    this.#recentCommandsAfter = snapshot.lastIndex;
    this.stateReplaced$.next();
    this.configurationChanged$.next();
    this.departures$.next([...this.#state.departures.values()]);
  }
}

function departuresIn({ kind, data }: LogEntry): Departure[] {
  return kind === EntryKind.COMMAND ? readDepartures(data) : [];
}
