import { decideDispatch } from "@teaselrouter/core/dispatch/decide_dispatch.ts";
import type { DispatchDecision } from "@teaselrouter/core/dispatch/dispatch_decision.ts";
import type { DispatchRequest } from "@teaselrouter/core/dispatch/dispatch_request.ts";
import { placeRequest } from "@teaselrouter/core/dispatch/place_request.ts";
import type { BackendCandidate } from "@teaselrouter/core/gateway/backend_candidate.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { decideTakeover } from "@teaselrouter/core/gateway/decide_takeover.ts";
import type { TakeoverDecision } from "@teaselrouter/core/gateway/takeover_decision.ts";
import type { Placement } from "@teaselrouter/core/gateway/placement.ts";
import type { RoomFigures } from "@teaselrouter/core/room/room_figures.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerForwarder } from "./answer_forwarder.ts";
import type { GatewayContext } from "./gateway_context.ts";

type Options = {
  context: GatewayContext;
  call: AdmittedCall;
  forwarder: AnswerForwarder;
  /** Instances that the request was already sent to. */
  tried: ReadonlySet<string>;
};

/** Why a request is not sent once more. */
type RetryRefusal = "no-attempt-left" | "suspected" | "no-retry-left";

/**
 * Chooses backend servers for one request and decides whether the request may
 * be sent again after a failure.
 */
export class CallRouting {
  /** Result of the latest decision; undefined before the first. */
  placement: Placement | undefined;
  /** What a refusal for want of room rests on. */
  figures: RoomFigures | undefined;
  /**
   * Version of the weights that the request's answer began on; undefined before
   * the first answer that names one. Later attempts must get the same.
   */
  weightsVersion: number | undefined;
  #options: Options;
  #isDecided = false;
  #loggedRefusals = new Set<RetryRefusal>();

  constructor(options: Options) {
    this.#options = options;
  }

  /** See `decideDispatch`. The attempt, if any, is sent now. */
  decide(): DispatchDecision {
    const { context, call } = this.#options;
    const { pool, dispatch } = context;
    const query = this.#query({ willSend: true });
    const decision = decideDispatch(this.#describe(), {
      terms: dispatch,
      pressure: pool.pressureOf(call.service.name),
      listUsable: () => pool.listUsable(query),
      choose: (usable, load) => pool.chooseAmong(usable, query, load),
      trySpendRetry: () => this.trySpendRetry(),
      hasAllowedPlace: () =>
        call.permittedRegions === undefined || pool.hasAllowedPlace(query),
    });
    this.#isDecided = true;
    if (decision.kind === "send") this.placement = decision.placement;
    if (decision.kind === "refuse") {
      this.placement = decision.placement ?? this.placement;
      this.figures = decision.figures;
    }
    return decision;
  }

  /** See `BackendPool.millisecondsUntilCapacity`. */
  millisecondsUntilCapacity(): number | undefined {
    return this.#options.context.pool.millisecondsUntilCapacity(
      this.#query({ willSend: false }),
    );
  }

  /** See `BackendPool.millisecondsUntilColdPlace`. */
  millisecondsUntilColdPlace(): number | undefined {
    return this.#options.context.pool.millisecondsUntilColdPlace(
      this.#query({ willSend: false }),
    );
  }

  /**
   * Backend servers that accept no requests now and that a new request could be
   * sent to later, those included that this one was sent to.
   */
  listPushingBack(): BackendAnnouncement[] {
    return this.#options.context.pool.listPushingBack({
      ...this.#query({ willSend: false }),
      tried: new Set(),
    });
  }

  /** See `BackendPool.isEvacuated`. */
  get isEvacuated(): boolean {
    const { context, call } = this.#options;
    return context.pool.isEvacuated({ service: call.service.name });
  }

  #query({ willSend }: { willSend: boolean }) {
    const { call, tried } = this.#options;
    return {
      id: call.id,
      willSend,
      route: call.route.name,
      workspace: call.workspace,
      permittedRegions: call.permittedRegions,
      service: call.service.name,
      engine: call.service.engine,
      model: call.metadata.model,
      promptTokens: call.metadata.promptTokens,
      tried,
      weightsVersion: this.weightsVersion,
    };
  }

  /** Places the request on a backend server that takes it over. */
  place(candidate: BackendCandidate): Placement {
    const { context, call } = this.#options;
    const { dispatch, pool } = context;
    const request = this.#describe();
    const placement = placeRequest(candidate, request, {
      terms: dispatch,
      pressure: pool.pressureOf(call.service.name),
    });
    const usable = [candidate];
    const verdict = dispatch.room.decide(request, {
      candidate,
      placement,
      usable,
    });
    this.placement = verdict.placement ?? placement;
    return this.placement;
  }

  #describe(): DispatchRequest {
    const { call, forwarder, tried } = this.#options;
    const { metadata } = call;
    const now = monotonicMilliseconds();
    return {
      id: call.id,
      route: call.route.name,
      service: call.service.name,
      urgency: call.urgency,
      workspace: call.workspace,
      engine: call.service.engine,
      promptTokens: metadata.promptTokens,
      expectedOutputTokens: metadata.expectedOutputTokens,
      maxOutputTokens: metadata.maxOutputTokens,
      targetLeftMilliseconds: call.lateAt - now,
      patienceLeftMilliseconds: call.deadlineAt - now,
      isFirstTry: call.spentBeforeMilliseconds === 0,
      isDecidedAgain: this.#isDecided,
      previousSends: tried.size,
      hasBegun: forwarder.hasBegun,
      now,
    };
  }

  /**
   * Whether the request may run again: a safe one until its answer has begun, a
   * resumable stream before its first event and after any event with an id.
   */
  get isRetryable(): boolean {
    const { call, forwarder } = this.#options;
    const { kind, resumable } = call.route;
    if (kind === "safe") return !forwarder.hasBegun;
    return kind === "stream" && resumable && forwarder.canResume;
  }

  /**
   * Spends one retry of the budget that all requests for its service share.
   * False if none is left or this request may not be sent again.
   */
  trySpendRetry(): boolean {
    const { context, call } = this.#options;
    const now = monotonicMilliseconds();
    if (!this.#hasAttemptsLeft) return this.#refuseRetry("no-attempt-left");
    if (!context.crashes.mayRetry(call)) return this.#refuseRetry("suspected");
    return context.retries.purseOf(call.service.name, now).trySpend(now) ||
      this.#refuseRetry("no-retry-left");
  }

  /** Retries that requests for its service may spend now, with a fraction. */
  get retriesLeft(): number {
    const { context, call } = this.#options;
    const now = monotonicMilliseconds();
    return context.retries.purseOf(call.service.name, now).left(now);
  }

  /** Logs and counts the reason, once for each request. */
  #refuseRetry(reason: RetryRefusal): false {
    if (this.#loggedRefusals.has(reason)) return false;
    this.#loggedRefusals.add(reason);
    const { context, call, tried } = this.#options;
    const service = call.service.name;
    context.metrics.retriesRefused.inc({ service, reason });
    context.log.info("retry-refused", {
      id: call.id,
      service,
      reason,
      retries_left: Math.floor(this.retriesLeft),
      sends: tried.size,
    });
    return false;
  }

  /** See `decideTakeover`. */
  decideTakeover(): TakeoverDecision {
    const { context, call } = this.#options;
    const { pool, retries, crashes } = context;
    const query = this.#query({ willSend: true });
    const now = monotonicMilliseconds();
    const decision = decideTakeover(
      {
        isRetryable: this.isRetryable && crashes.mayRetry(call),
        hasAttemptsLeft: this.#hasAttemptsLeft,
        millisecondsLeft: call.deadlineAt - now,
        listCandidates: () => pool.listUsable(query),
        choose: (candidates) => pool.chooseAmong(candidates, query),
      },
      retries.purseOf(call.service.name, now),
      now,
    );
    if (decision.kind === "keep" && isRetryRefusal(decision.reason)) {
      this.#refuseRetry(decision.reason);
    }
    return decision;
  }

  get #hasAttemptsLeft(): boolean {
    const { call, tried } = this.#options;
    return tried.size < call.route.maxBackends;
  }
}

function isRetryRefusal(
  reason: Extract<TakeoverDecision, { kind: "keep" }>["reason"],
): reason is "no-attempt-left" | "no-retry-left" {
  return reason === "no-attempt-left" || reason === "no-retry-left";
}
