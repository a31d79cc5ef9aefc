import type { BackendCandidate } from "../gateway/backend_candidate.ts";
import type { DispatchRequest } from "../dispatch/dispatch_request.ts";
import type { RoomSend } from "../dispatch/room_send.ts";
import { RankCounts } from "./rank_counts.ts";
import type { RoomUse } from "./room_use.ts";
import { SlotShare } from "./slot_share.ts";
import { UrgencyDemand } from "./urgency_demand.ts";
import { WorkspaceShares } from "./workspace_shares.ts";

/**
 * A kind of request served less than a quarter as often as all is shut out; the
 * rest is a margin for chance.
 */
const FLOOR_SHARE = 0.3;
/** With fewer requests in the window nothing can be said of their share. */
const MIN_ASKED_PER_MILLISECOND = 0.0005;

/**
 * With more in use, the free slots are too few for what arrives at once, and the
 * room open to less urgent requests shrinks, to none with all slots in use.
 */
const SHORT_USE_SHARE = 0.96;

/**
 * Weight of the latest decision in the mean mix of requests, by which those of
 * other hosts are judged: a host with few sees an extreme one at any moment.
 */
const LATEST_MIX_WEIGHT = 0.05;

const NONE = new RankCounts();

type Urgency = { demand: UrgencyDemand; shares: WorkspaceShares };

/** What one host knows of the room at one service, all from its own traffic. */
export class ServiceRoom {
  /** Mean number of this host's waiting requests at all backend servers. */
  readonly meanWaiting = new RankCounts();
  readonly slots: SlotShare;
  #waiting = new RankCounts();
  #inFlight = 0;
  #meanInFlight = 0;
  #startedAt: number;
  #here = new Map<string, RankCounts>();
  #urgencies = new Map<number, Urgency>();

  /** @param startedAt since when this host gets requests, monotonic ms. */
  constructor(startedAt: number) {
    this.#startedAt = startedAt;
    this.slots = new SlotShare(startedAt);
  }

  of(urgency: number): Urgency {
    let known = this.#urgencies.get(urgency);
    if (known === undefined) {
      known = {
        demand: new UrgencyDemand(this.#startedAt),
        shares: new WorkspaceShares(this.#startedAt),
      };
      this.#urgencies.set(urgency, known);
    }
    return known;
  }

  /** The most urgent first. */
  listUrgencies(): number[] {
    return [...this.#urgencies.keys()].sort((left, right) => left - right);
  }

  /** This host's waiting requests at a backend server. */
  here(instance: string): RankCounts {
    return this.#here.get(instance) ?? NONE;
  }

  recordArrival({ urgency, workspace, isFirstTry, now }: DispatchRequest) {
    const { demand, shares } = this.of(urgency);
    // Repeats take no room from others: only a first attempt reserves any.
    if (isFirstTry) demand.recordArrival(now);
    if (workspace !== undefined) shares.recordAsked(workspace, now);
  }

  /** Slots of this host that requests more urgent than `urgency` ask for. */
  slotsKeptFor(urgency: number, now: number): number {
    let kept = 0;
    for (const [other, { demand }] of this.#urgencies) {
      if (other < urgency) kept += demand.slotsAsked(now);
    }
    return kept;
  }

  /**
   * Whether a request of `urgency` would use room that more urgent ones are
   * expected to ask for while it holds its slot. What these leave goes to the
   * part of the requests that it suffices for, and is the less the fewer slots
   * are free: demand varies faster than its mean. There is room for all while
   * enough slots are free.
   *
   * @param random uniform in [0, 1): who is among that part.
   */
  isRoomKept(urgency: number, random: number, now: number): boolean {
    const { use, slots, share } = this.slots;
    if (use <= SHORT_USE_SHARE) return false;
    const kept = this.slotsKeptFor(urgency, now);
    if (kept === 0) return false;
    const open = (1 - use) / (1 - SHORT_USE_SHARE);
    // Demand varies over all hosts, and this host has its part of that.
    const deviation = Math.sqrt(kept * share);
    const left = open * slots - kept - deviation;
    const { demand } = this.of(urgency);
    const granted = demand.slotsGranted(now);
    return left - granted < random * (demand.slotsAsked(now) - granted);
  }

  /** Whether requests of an urgency are served far less often than all. */
  isShutOut(urgency: number, now: number): boolean {
    const { demand } = this.of(urgency);
    const asked = demand.asked(now);
    if (asked < MIN_ASKED_PER_MILLISECOND) return false;
    let allAsked = 0;
    let allServed = 0;
    for (const { demand: other } of this.#urgencies.values()) {
      allAsked += other.asked(now);
      allServed += other.served(now);
    }
    return demand.served(now) / asked < FLOOR_SHARE * allServed / allAsked;
  }

  /** Mean number of requests in flight, those that are answered included. */
  get meanInFlight(): number {
    return this.#meanInFlight;
  }

  /** Updates what is believed of the backend servers, at each decision. */
  update(usable: readonly BackendCandidate[], now: number): void {
    this.slots.update(usable, now);
    this.meanWaiting.approach(this.#waiting, LATEST_MIX_WEIGHT);
    this.#meanInFlight += LATEST_MIX_WEIGHT *
      (this.#inFlight - this.#meanInFlight);
  }

  /** Counts a request that is sent to a backend server. */
  begin({ instance, urgency, rank, promptTokens }: RoomSend): RoomUse {
    const { demand } = this.of(urgency);
    let here = this.#here.get(instance);
    if (here === undefined) {
      here = new RankCounts();
      this.#here.set(instance, here);
    }
    const waitsAt = here;
    const count = (requests: number) => {
      waitsAt.add(rank, requests, requests * promptTokens);
      this.#waiting.add(rank, requests, requests * promptTokens);
      if (waitsAt.isEmpty) this.#here.delete(instance);
      else this.#here.set(instance, waitsAt);
    };
    let waits = true;
    let isInFlight = true;
    count(1);
    this.#inFlight += 1;
    return {
      endWait: () => {
        if (waits) count(-1);
        waits = false;
      },
      recordHold: (milliseconds) => demand.recordHold(milliseconds),
      end: () => {
        if (waits) count(-1);
        waits = false;
        if (isInFlight) this.#inFlight -= 1;
        isInFlight = false;
      },
    };
  }
}
