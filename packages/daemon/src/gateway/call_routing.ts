import type { BackendCandidate } from "@teaselrouter/core/gateway/backend_candidate.ts";
import type { BackendAnnouncement } from "@teaselrouter/core/membership/backend_announcement.ts";
import { decidePlacement } from "@teaselrouter/core/gateway/decide_placement.ts";
import { decideTakeover } from "@teaselrouter/core/gateway/decide_takeover.ts";
import type { TakeoverDecision } from "@teaselrouter/core/gateway/takeover_decision.ts";
import type { Placement } from "@teaselrouter/core/gateway/placement.ts";
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

/**
 * Chooses backend servers for one request and decides whether the request may
 * be sent again after a failure.
 */
export class CallRouting {
  /** Result of the latest `place` call; undefined before the first. */
  placement: Placement | undefined;
  /**
   * Version of the weights that the request's answer began on; undefined before
   * the first answer that names one. Later attempts must get the same.
   */
  weightsVersion: number | undefined;
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Chooses the backend server for an attempt that is sent now; undefined if
   * none is eligible.
   */
  choose(): BackendCandidate | undefined {
    return this.#options.context.pool.choose(
      this.#query({ willSend: true }),
    );
  }

  /** See `BackendPool.millisecondsUntilCapacity`. */
  millisecondsUntilCapacity(): number | undefined {
    return this.#options.context.pool.millisecondsUntilCapacity(
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

  #query({ willSend }: { willSend: boolean }) {
    const { call, tried } = this.#options;
    return {
      id: call.id,
      willSend,
      service: call.service.name,
      engine: call.service.engine,
      model: call.metadata.model,
      promptTokens: call.metadata.promptTokens,
      tried,
      weightsVersion: this.weightsVersion,
    };
  }

  /**
   * Decides whether the request can be in time on the chosen backend server,
   * and records the result. Always "timely" for services without an engine, and
   * for an answer that has begun: its client is waiting for the rest.
   */
  place(candidate: BackendCandidate): Placement {
    const { context, call, forwarder, tried } = this.#options;
    const { engine, name } = call.service;
    const now = monotonicMilliseconds();
    if (engine === undefined || forwarder.hasBegun) {
      this.placement = { kind: "timely", forecast: undefined, decidedAt: now };
      return this.placement;
    }
    const pressure = context.pool.pressureOf(name);
    const placement = decidePlacement(candidate, {
      engine,
      promptTokens: call.metadata.promptTokens,
      targetLeftMilliseconds: call.lateAt - now,
      slotPressure: pressure.share,
      now,
    });
    if (call.spentBeforeMilliseconds === 0) {
      const isFull =
        placement.forecast!.requests >= candidate.announcement.slots;
      pressure.recordRequest(isFull);
    }
    // After a failed attempt the request may have run: a refusal could not
    // promise the client that it has not, and would lose an answer that the
    // client has waited for.
    const wasTriedBefore = tried.size > 0;
    this.placement = placement.kind === "refused" && wasTriedBefore
      ? { ...placement, kind: "late" }
      : placement;
    return this.placement;
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
   * Spends one retry of the budget that all requests share. False if none is
   * left or this request may not be sent again.
   */
  trySpendRetry(): boolean {
    const { context, call } = this.#options;
    return this.#hasAttemptsLeft && context.crashes.mayRetry(call) &&
      context.retries.trySpendRetry();
  }

  /** Whether another backend server can take over if this one fails. */
  canFailOver(): boolean {
    return this.isRetryable && this.#hasAttemptsLeft &&
      this.#options.context.pool.choose(
          this.#query({ willSend: false }),
        ) !==
        undefined;
  }

  /** See `decideTakeover`. */
  decideTakeover(): TakeoverDecision {
    const { context, call } = this.#options;
    const { pool, retries, crashes } = context;
    const query = this.#query({ willSend: true });
    const now = monotonicMilliseconds();
    return decideTakeover(
      {
        isRetryable: this.isRetryable && crashes.mayRetry(call),
        hasAttemptsLeft: this.#hasAttemptsLeft,
        millisecondsLeft: call.deadlineAt - now,
        listCandidates: () => pool.listUsable(query),
        choose: (candidates) => pool.chooseAmong(candidates, query),
      },
      retries,
      now,
    );
  }

  get #hasAttemptsLeft(): boolean {
    const { call, tried } = this.#options;
    return tried.size < call.route.maxBackends;
  }
}
