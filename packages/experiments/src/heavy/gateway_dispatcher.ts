import { createDefaultTerms } from "@teaselrouter/core/dispatch/create_default_terms.ts";
import { decideDispatch } from "@teaselrouter/core/dispatch/decide_dispatch.ts";
import type { DispatchRequest } from "@teaselrouter/core/dispatch/dispatch_request.ts";
import type { DispatchTerms } from "@teaselrouter/core/dispatch/dispatch_terms.ts";
import { toRank } from "@teaselrouter/core/room/to_rank.ts";
import type { RoomUse } from "@teaselrouter/core/room/room_use.ts";
import { UrgencyRoomPolicy } from "@teaselrouter/core/room/urgency_room_policy.ts";
import type { BackendCandidate } from "@teaselrouter/core/gateway/backend_candidate.ts";
import { BackendRecord } from "@teaselrouter/core/gateway/backend_record.ts";
import { chooseBackend } from "@teaselrouter/core/gateway/choose_backend.ts";
import type { EngineDefinition } from "@teaselrouter/core/gateway/engine_definition.ts";
import { updateAssumedLoad } from "@teaselrouter/core/gateway/update_assumed_load.ts";
import { pickHomeBackends } from "@teaselrouter/core/gateway/pick_home_backends.ts";
import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import type { Route } from "@teaselrouter/core/gateway/route.ts";
import { SlotPressure } from "@teaselrouter/core/gateway/slot_pressure.ts";
import { PatienceEstimator } from "@teaselrouter/core/gateway/patience_estimator.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { DispatchDecision } from "./dispatch_decision.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { ModelledCall } from "./modelled_call.ts";

const SERVICE = "model";

type Options = {
  host: string;
  dataCentre: string;
  settings: FleetSettings;
  announcements: BackendAnnouncement[];
  random: () => number;
  /** Whether the room is divided by urgency, as where kinds differ in it. */
  isContested: boolean;
  /** Whether reported slowdowns are made use of. */
  heedsPace: boolean;
};

/** Decides with the gateway's own routing and admission code. */
export class GatewayDispatcher implements Dispatcher {
  #options: Options;
  #candidates: BackendCandidate[];
  #homeBackends: ReadonlySet<string>;
  #engineDefinition: EngineDefinition;
  #slotPressure = new SlotPressure();
  #patienceEstimator = new PatienceEstimator();
  #timelyUnanswered = new Set<ModelledCall>();
  #uses = new Map<ModelledCall, RoomUse>();
  #terms: DispatchTerms;

  constructor(options: Options) {
    this.#options = options;
    this.#candidates = options.announcements.map((announcement) => ({
      announcement,
      record: new BackendRecord(),
    }));
    this.#homeBackends = pickHomeBackends(options.announcements, options);
    this.#engineDefinition = createEngineDefinition(options.settings);
    const { random, isContested } = options;
    this.#terms = {
      ...createDefaultTerms(),
      room: new UrgencyRoomPolicy({ isContested: () => isContested, random }),
    };
  }

  decide(call: ModelledCall, now: number): DispatchDecision {
    const { dataCentre, random } = this.#options;
    // Callers state whole milliseconds.
    const patience = Math.round(call.abandonedAt - now);
    const spentMilliseconds = this.#patienceEstimator.estimateSpentMilliseconds(
      createRoute(call),
      patience,
    );
    const request = this.#describe(call, spentMilliseconds, now);
    const decision = decideDispatch(request, {
      terms: this.#terms,
      pressure: this.#slotPressure,
      listUsable: () => {
        updateAssumedLoad(this.#candidates, now);
        return this.#candidates.filter(({ record }) => record.isAvailable(now));
      },
      choose: (usable, load) =>
        chooseBackend(usable, {
          dataCentre,
          promptTokens: call.promptTokens,
          engine: this.#engineDefinition,
          home: this.#homeBackends,
          random,
          load,
          now,
        }),
      trySpendRetry: () => true,
    });
    if (decision.kind === "no-server") return this.#refuse("outage", patience);
    if (decision.kind === "refuse") {
      const { retryAfterMilliseconds } = decision;
      return retryAfterMilliseconds === undefined
        ? this.#refuse("overload", patience)
        : { kind: "refuse", retryAfterMilliseconds };
    }
    const { candidate, placement } = decision;
    const isTimely = placement.kind === "timely";
    const rank = placement.rank ?? toRank(call.kind.priority, !isTimely);
    this.#recordSend(call, candidate, isTimely, now);
    const use = this.#terms.room.countSend({
      service: SERVICE,
      instance: candidate.announcement.instance,
      urgency: call.kind.priority,
      rank,
      promptTokens: call.promptTokens,
      now,
    });
    if (use !== undefined) this.#uses.set(call, use);
    const engine = this.#candidates.indexOf(candidate);
    return { kind: "send", engine, rank };
  }

  #describe(
    { kind, workspace, promptTokens, abandonedAt }: ModelledCall,
    spentMilliseconds: number,
    now: number,
  ): DispatchRequest {
    return {
      id: "",
      route: kind.name,
      service: SERVICE,
      urgency: kind.priority,
      workspace,
      engine: this.#engineDefinition,
      promptTokens,
      expectedOutputTokens: undefined,
      maxOutputTokens: 0,
      targetLeftMilliseconds: kind.target_ms - spentMilliseconds,
      patienceLeftMilliseconds: abandonedAt - now,
      isFirstTry: spentMilliseconds === 0,
      previousSends: 0,
      hasBegun: false,
      now,
    };
  }

  recordEvent(engine: number, now: number): void {
    this.#candidates[engine]!.record.recordDataReceived(now);
  }

  recordFirstEvent(call: ModelledCall, engine: number, now: number): void {
    const { record } = this.#candidates[engine]!;
    this.#uses.get(call)?.endWait();
    this.#recordResponse(call, record);
    record.beginEvents(now);
    record.recordSuccess();
    record.endHalfOpen();
  }

  recordEnd(
    call: ModelledCall,
    engine: number,
    slotHoldMilliseconds: number | undefined,
  ): void {
    const { record } = this.#candidates[engine]!;
    record.inFlight -= 1;
    const use = this.#uses.get(call);
    this.#uses.delete(call);
    if (slotHoldMilliseconds !== undefined) {
      use?.recordHold(slotHoldMilliseconds);
    }
    use?.end();
    if (slotHoldMilliseconds === undefined) this.#recordResponse(call, record);
    else {
      record.endEvents();
      record.recordSlotHoldTime(slotHoldMilliseconds);
    }
  }

  recordRejection(call: ModelledCall, engine: number, now: number): void {
    this.recordEnd(call, engine, undefined);
    this.#candidates[engine]!.record.eject(now);
  }

  recordLoadReport(
    engine: number,
    { running, waiting, slowdown }: {
      running: number;
      waiting: number;
      slowdown?: number;
    },
    { now, age }: { now: number; age: number },
  ): void {
    const { heedsPace, settings: { engine: { slots } } } = this.#options;
    const load = { running, waiting, slots };
    this.#candidates[engine]!.record.recordReport(
      heedsPace && slowdown !== undefined ? { ...load, slowdown } : load,
      now,
      age,
    );
  }

  #recordSend(
    call: ModelledCall,
    { record }: BackendCandidate,
    isTimely: boolean,
    now: number,
  ): void {
    record.recordSend(now);
    record.inFlight += 1;
    record.pendingPromptTokens += call.promptTokens;
    if (!isTimely) return;
    record.timelyUnanswered += 1;
    this.#timelyUnanswered.add(call);
  }

  #recordResponse(call: ModelledCall, record: BackendRecord): void {
    record.pendingPromptTokens -= call.promptTokens;
    if (this.#timelyUnanswered.delete(call)) record.timelyUnanswered -= 1;
  }

  #refuse(
    cause: "outage" | "overload",
    patience: number,
  ): DispatchDecision {
    const retryAfterMilliseconds = retryAfter({
      cause,
      patienceMilliseconds: patience,
      random: this.#options.random(),
    });
    return { kind: "refuse", retryAfterMilliseconds };
  }
}

function createRoute({ kind }: ModelledCall): Route {
  return {
    name: kind.name,
    host: "model",
    pathPrefix: "/",
    kind: "stream",
    timeoutMilliseconds: kind.patience_ms,
    targetMilliseconds: kind.target_ms,
    priority: kind.priority,
    targets: [{ service: SERVICE, weight: 1 }],
    maxBackends: 2,
    needsKey: false,
    resumable: true,
  };
}

function createEngineDefinition(
  { engine, look_ms }: FleetSettings,
): EngineDefinition {
  return {
    models: ["model"],
    slots: engine.slots,
    contextTokens: 0,
    weightChunks: 0,
    weightChunkBytes: 0,
    stepMilliseconds: engine.step_ms,
    stepPerRequestMilliseconds: engine.step_per_request_ms,
    stepPerThousandTokensMilliseconds: 0,
    readTokensPerSecond: engine.read_tokens_per_ms * 1_000,
    stepsPerPass: engine.steps_per_pass,
    reportLagMilliseconds: look_ms,
  };
}
