import type { RaftNode } from "@teaselrouter/core/consensus/raft_node.ts";
import { LimitAllotter } from "@teaselrouter/core/limits/limit_allotter.ts";
import { applyCommand } from "@teaselrouter/core/state/apply_command.ts";
import type { Command } from "@teaselrouter/core/state/command.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { decodeControlState } from "@teaselrouter/core/state/decode_control_state.ts";
import { encodeControlState } from "@teaselrouter/core/state/encode_control_state.ts";
import { isFollowedCommand } from "@teaselrouter/core/state/is_followed_command.ts";
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

const PROPOSAL_MILLISECONDS = 5_000;
const READ_POLL_MILLISECONDS = 5;
const FOLLOWED_KEPT = 4_096;
/** An entry host's lease, and a little for the way to it. */
const LEASE_MILLISECONDS = 1_600;

type Waiter = { term: number; resolve: (outcome: ProposalOutcome) => void };
type Followed = { index: number; bytes: Uint8Array };

/** A control host: the replicated state, and who may change it. */
export class ControlHost {
  readonly followed$ = new Subject<Followed>();
  /** The routing configuration or the named weights may have changed. */
  readonly routing$ = new Subject<void>();
  /** The tables were replaced by a snapshot; followers start over. */
  readonly replaced$ = new Subject<void>();
  readonly node: RaftNode;
  #driver: RaftDriver;
  #log: EventLog;
  #state: ControlState;
  #waiters = new Map<number, Waiter>();
  #followed: Followed[] = [];
  #followedFrom: number;
  #allotter: LimitAllotter | undefined;
  #leadingSince = 0;
  #inForce = new InForceWaiters();

  constructor(
    options: { node: RaftNode; driver: RaftDriver; log: EventLog },
    state: ControlState,
  ) {
    this.node = options.node;
    this.#driver = options.driver;
    this.#log = options.log;
    this.#state = state;
    this.#followedFrom = state.appliedIndex;
    // From the first moment: what a new leader waits for counts from there.
    this.#driver.leadership$.subscribe(() =>
      this.allotter(monotonicMilliseconds())
    );
    this.#driver.committed$.subscribe((entry) => this.#apply(entry));
    this.#driver.installed$.subscribe((snapshot) => this.#install(snapshot));
  }

  get leadership$(): Observable<void> {
    return this.#driver.leadership$;
  }

  /** Address of the member that leads; empty for none known. */
  get leaderAddress(): string {
    const { leaderId, membership } = this.node;
    return membership.members.find(({ id }) => id === leaderId)?.address ?? "";
  }

  /**
   * Whether the tables hold all that was accepted before the term that is
   * led now: its first entry follows everything older.
   */
  get isCaughtUp(): boolean {
    return this.node.leaderId !== "" && this.node.hasCommittedOwnTerm &&
      this.#state.appliedIndex >= this.node.commitIndex;
  }

  get state(): ControlState {
    return this.#state;
  }

  /** Leads, is heard by a majority, and knows everything accepted. */
  isLeading(now: number): boolean {
    const leading = this.node.isLeading(now) && this.node.hasCommittedOwnTerm;
    if (!leading) this.#allotter = undefined;
    return leading;
  }

  /** The leader's division of limits; undefined when not leading. */
  allotter(now: number): LimitAllotter | undefined {
    if (!this.isLeading(now)) return undefined;
    if (this.#allotter === undefined) {
      this.#allotter = new LimitAllotter(now, this.node.term);
      this.#leadingSince = now;
      this.#log.info("leading", { term: this.node.term });
    }
    return this.#allotter;
  }

  /** Commands after `cursor`, or undefined when the tables must be sent. */
  followedAfter(cursor: number): Followed[] | undefined {
    if (cursor < this.#followedFrom) return undefined;
    return this.#followed.filter((followed) => followed.index > cursor);
  }

  encodeForFollowers(): Uint8Array {
    return encodeControlState(this.#state, { withClaims: false });
  }

  async propose(
    command: Command,
    options: { untilInForce: boolean },
  ): Promise<ProposalOutcome> {
    const now = monotonicMilliseconds();
    if (!this.isLeading(now)) return { kind: "not-proposed" };
    const stamped = "at" in command ? { ...command, at: Date.now() } : command;
    const bytes = new TextEncoder().encode(JSON.stringify(stamped));
    const index = this.node.propose(bytes, now);
    if (index.isErr) return { kind: "not-proposed" };
    this.#driver.flushSoon();
    const outcome = await this.#wait(index.value);
    if (outcome.kind !== "committed" || !options.untilInForce) return outcome;
    return { ...outcome, ...(await this.#untilInForce(outcome.index)) };
  }

  /** One membership change; whether it was begun shows in the node. */
  proposeMembership(membership: Membership): void {
    const begun = this.node.proposeMembership(
      membership,
      monotonicMilliseconds(),
    );
    if (begun.isOk) this.#driver.flushSoon();
  }

  /** Confirms that this host still leads; the state is then current. */
  async read(): Promise<ProposalOutcome> {
    const round = this.node.startReadRound(monotonicMilliseconds());
    if (round.isErr) return { kind: "not-proposed" };
    const index = this.node.commitIndex;
    this.#driver.flushSoon();
    const until = monotonicMilliseconds() + PROPOSAL_MILLISECONDS;
    while (
      this.node.confirmedRound < round.value || this.#state.appliedIndex < index
    ) {
      if (
        monotonicMilliseconds() > until ||
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
      answer: { accepted: true },
      inForce: true,
      hostsWithoutLease: [],
    };
  }

  /** Called after each report: a change may have come in force. */
  checkInForce(now: number): void {
    const allotter = this.allotter(now);
    if (allotter === undefined) return;
    const live = allotter.liveHosts(now);
    const away = [...this.#state.entryHosts.values()]
      .filter(({ host, stopped }) => !stopped && !live.has(host))
      .map(({ host }) => host);
    // A new leader has not heard of the leases that its predecessor gave.
    if (away.length > 0 && now - this.#leadingSince < LEASE_MILLISECONDS) {
      return;
    }
    this.#inForce.check(live, away);
  }

  #wait(index: number): Promise<ProposalOutcome> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#waiters.delete(index);
        resolve({ kind: "unknown" });
      }, PROPOSAL_MILLISECONDS);
      this.#waiters.set(index, {
        term: this.node.term,
        resolve: (outcome) => {
          clearTimeout(timer);
          resolve(outcome);
        },
      });
    });
  }

  #untilInForce(index: number) {
    const waiting = this.#inForce.wait(index, PROPOSAL_MILLISECONDS);
    this.checkInForce(monotonicMilliseconds());
    return waiting;
  }

  #apply(entry: LogEntry): void {
    const waiter = this.#waiters.get(entry.index);
    this.#waiters.delete(entry.index);
    if (entry.kind !== EntryKind.COMMAND) {
      this.#state.appliedIndex = entry.index;
      waiter?.resolve({ kind: "not-proposed" });
      return;
    }
    const command = JSON.parse(new TextDecoder().decode(entry.data)) as Command;
    const answer = applyCommand(this.#state, command, entry.index);
    if (command.kind === "replace-routing" || command.kind === "name-weights") {
      this.routing$.next();
    }
    if (isFollowedCommand(command)) {
      this.#follow({ index: entry.index, bytes: entry.data });
    }
    // Another leader's entry took this index: what was proposed is gone.
    if (waiter !== undefined && waiter.term !== entry.term) {
      waiter.resolve({ kind: "not-proposed" });
      return;
    }
    waiter?.resolve({
      kind: "committed",
      index: entry.index,
      answer,
      inForce: false,
      hostsWithoutLease: [],
    });
  }

  #follow(followed: Followed): void {
    this.#followed.push(followed);
    if (this.#followed.length > FOLLOWED_KEPT) {
      this.#followedFrom = this.#followed.shift()!.index;
    }
    this.followed$.next(followed);
  }

  #install(snapshot: SnapshotData): void {
    this.#state = decodeControlState(snapshot.state);
    this.#state.appliedIndex = snapshot.lastIndex;
    this.#followed = [];
    this.#followedFrom = snapshot.lastIndex;
    this.replaced$.next();
    this.routing$.next();
  }
}
