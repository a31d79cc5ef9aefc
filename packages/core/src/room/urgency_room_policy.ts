import type { DispatchRequest } from "../dispatch/dispatch_request.ts";
import { OpenRoomPolicy } from "../dispatch/open_room_policy.ts";
import type { Room } from "../dispatch/room.ts";
import type { RoomPolicy } from "../dispatch/room_policy.ts";
import type { RoomSend } from "../dispatch/room_send.ts";
import type { RoomVerdict } from "../dispatch/room_verdict.ts";
import type { EngineDefinition } from "../gateway/engine_definition.ts";
import type { FirstEventForecast } from "../gateway/first_event_forecast.ts";
import { forecastTurn } from "./forecast_turn.ts";
import type { LoadEstimate } from "../gateway/load_estimate.ts";
import { RevertingLoadEstimate } from "../gateway/reverting_load_estimate.ts";
import { toRank } from "./to_rank.ts";
import { returnDelay } from "./return_delay.ts";
import type { RoomFigures } from "./room_figures.ts";
import type { RoomUse } from "./room_use.ts";
import { ServiceRoom } from "./service_room.ts";

type Options = {
  /** Whether requests of several urgencies compete for a service. */
  isContested: (service: string) => boolean;
  /** Uniform in [0, 1). */
  random: () => number;
};

/**
 * Callers give up a stream that has sent nothing for 2 s; the rest is for the
 * way and the error of the forecast.
 */
const MAX_FIRST_EVENT_MILLISECONDS = 1_800;
/** From this share of decisions on that find too little room, it is short. */
const SHORTAGE_SHARE = 0.2;

/**
 * Share of the time left by which a forecast may exceed it: waits tend to be
 * shorter than forecast.
 */
const TOLERANCE_SHARE = 0.15;

type Contested = Room & { room: ServiceRoom; engine: EngineDefinition };

/**
 * Gives the room at a service to its more urgent requests first.
 *
 * Answers the load in which less urgent requests come in a burst, and more
 * urgent ones after them: with first come, first served, the slots and the
 * queues are full of the first when the second arrive. Queues are ordered by
 * urgency, and a request is sent only if its turn comes in time, behind those
 * that wait and behind the more urgent ones expected to arrive meanwhile.
 */
export class UrgencyRoomPolicy implements RoomPolicy {
  #options: Options;
  #open = new OpenRoomPolicy();
  #load = new RevertingLoadEstimate();
  #rooms = new Map<string, ServiceRoom>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** What this host knows of each contested service. */
  get rooms(): ReadonlyMap<string, ServiceRoom> {
    return this.#rooms;
  }

  loadEstimate(service: string): LoadEstimate {
    return this.#options.isContested(service)
      ? this.#load
      : this.#open.loadEstimate();
  }

  recordArrival(request: DispatchRequest): void {
    if (!this.#options.isContested(request.service)) return;
    this.#roomOf(request).recordArrival(request);
  }

  decide(request: DispatchRequest, room: Room): RoomVerdict {
    const { service, engine, hasBegun } = request;
    const isOpen = engine === undefined || hasBegun ||
      room.placement.forecast === undefined ||
      !this.#options.isContested(service);
    if (isOpen) return this.#open.decide(request, room);
    const contested = { ...room, room: this.#roomOf(request), engine };
    const verdict = this.#decideContested(request, contested);
    this.#record(request, contested.room, verdict);
    return verdict;
  }

  countSend(send: RoomSend): RoomUse | undefined {
    if (!this.#options.isContested(send.service)) return undefined;
    return this.#roomOf(send).begin(send);
  }

  #decideContested(request: DispatchRequest, room: Contested): RoomVerdict {
    const { urgency, workspace, now, previousSends } = request;
    const { room: known, placement } = room;
    if (previousSends === 0) known.update(room.usable, now);
    const { demand, shares } = known.of(urgency);
    const admit = (
      kind: "timely" | "late",
      forecast: FirstEventForecast,
      rank: number,
    ): RoomVerdict => ({
      kind: "admit",
      placement: { ...placement, kind, forecast, rank },
    });

    const rank = toRank(urgency, false);
    const timely = this.#forecast(request, room, rank, false);
    const isTimely = timely.milliseconds <=
      request.targetLeftMilliseconds * (1 + TOLERANCE_SHARE);
    const hasFreeSlot = timely.requests + 1 <=
      room.candidate.announcement.slots;
    const isShort = demand.shortage > SHORTAGE_SHARE;
    if (previousSends === 0 && workspace !== undefined && isShort) {
      const mayPass = hasFreeSlot || !shares.isOver(workspace, now);
      if (!mayPass) return this.#refuse("share-used", request, room, timely);
    }
    const isFirst = request.isFirstTry && previousSends === 0;
    const isWithinShare = isFirst && isShort && workspace !== undefined &&
      shares.isWithin(workspace, now);
    if (isWithinShare) demand.recordGranted(now);
    const mayWait = previousSends > 0 || isWithinShare ||
      !known.isRoomKept(urgency, this.#options.random(), now);
    if (isTimely && mayWait) return admit("timely", timely, rank);

    const isShutOut = isFirst && known.isShutOut(urgency, now);
    if (!mayWait && !isShutOut) {
      return this.#refuse("room-kept", request, room, timely);
    }
    if (isTimely) return admit("timely", timely, rank);

    const patience = Math.min(
      MAX_FIRST_EVENT_MILLISECONDS,
      request.patienceLeftMilliseconds,
    );
    if (isShutOut) {
      const first = this.#forecast(request, room, 0, false);
      if (first.milliseconds <= patience) return admit("late", first, 0);
    }
    const lateRank = toRank(urgency, true);
    const late = this.#forecast(request, room, lateRank, true);
    if (isWithinShare && timely.milliseconds <= patience) {
      return admit("late", timely, rank);
    }
    if (previousSends > 0 || late.milliseconds <= patience) {
      return admit("late", late, lateRank);
    }
    return this.#refuse("no-room", request, room, late);
  }

  #forecast(
    { promptTokens, urgency, now }: DispatchRequest,
    { candidate, placement, room, engine }: Contested,
    rank: number,
    isBehindAll: boolean,
  ): FirstEventForecast {
    const taken = room.slotsKeptFor(isBehindAll ? Infinity : urgency, now) /
      room.slots.slots;
    return forecastTurn({
      candidate,
      engine,
      promptTokens,
      forecast: {
        ...placement.forecast!,
        requests: this.#load.estimate(candidate.record, now),
      },
      rank,
      here: room.here(candidate.announcement.instance),
      meanWaiting: room.meanWaiting,
      meanInFlight: room.meanInFlight,
      takenBefore: rank === 0
        ? 0
        : isBehindAll
        ? Math.max(taken, room.slots.use)
        : taken,
    });
  }

  #refuse(
    reason: "room-kept" | "share-used" | "no-room",
    request: DispatchRequest,
    { room, placement }: Contested,
    forecast: FirstEventForecast,
  ): RoomVerdict {
    const { urgency, now } = request;
    const urgencies = room.listUrgencies();
    return {
      kind: "refuse",
      reason,
      retryAfterMilliseconds: returnDelay({
        turnMilliseconds: forecast.milliseconds,
        patienceLeftMilliseconds: request.patienceLeftMilliseconds,
        order: urgencies.indexOf(urgency),
        urgencies: urgencies.length,
        random: this.#options.random(),
      }),
      placement: { ...placement, kind: "refused", forecast },
      figures: describeRoom(request, room, forecast, now),
    };
  }

  #record(
    { urgency, workspace, isFirstTry, previousSends, now }: DispatchRequest,
    room: ServiceRoom,
    verdict: RoomVerdict,
  ): void {
    if (previousSends > 0) return;
    const { demand, shares } = room.of(urgency);
    const isAdmitted = verdict.kind === "admit";
    const isTimely = isAdmitted && verdict.placement.kind === "timely";
    if (isFirstTry) demand.recordDecision(!isTimely);
    if (!isAdmitted) return;
    demand.recordServed(now);
    if (workspace !== undefined) shares.recordUsed(workspace, now);
  }

  #roomOf({ service, now }: { service: string; now: number }): ServiceRoom {
    let room = this.#rooms.get(service);
    if (room === undefined) {
      room = new ServiceRoom(now);
      this.#rooms.set(service, room);
    }
    return room;
  }
}

function describeRoom(
  { urgency, workspace }: DispatchRequest,
  room: ServiceRoom,
  forecast: FirstEventForecast,
  now: number,
): RoomFigures {
  const share = workspace === undefined
    ? undefined
    : room.of(urgency).shares.find(workspace, now);
  return {
    slots: room.slots.slots,
    keptSlots: room.slotsKeptFor(urgency, now),
    slotWaitMilliseconds: forecast.slotWaitMilliseconds,
    workspaceAsked: share?.asked,
    workspaceUsed: share?.used,
    workspaceShare: share?.share,
    ageMilliseconds: now - room.slots.updatedAt,
  };
}
