import type { EventQueue } from "../overload/event_queue.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { MetricsCollector } from "./metrics_collector.ts";
import type { CallOutcome } from "./call_outcome.ts";
import type { ModelledCall } from "./modelled_call.ts";
import type { EngineRequest } from "./engine_request.ts";
import type { ModelledEngine } from "./modelled_engine.ts";

/**
 * A caller tries at most twice. Each try is sent to a host that is drawn at
 * random from those of the caller's data centre.
 */
const MAX_TRIES = 2;
/**
 * A caller retries only after a delay of at most this share of the time that it
 * has left until it gives up.
 */
const MAX_RETRY_DELAY_SHARE = 1 / 3;
/**
 * Retry delay that a host gives a caller if the engine rejected the request or
 * had an outage before it completed the answer.
 */
const RETRY_DELAY_MILLISECONDS = 300;

type Options = {
  call: ModelledCall;
  settings: FleetSettings;
  events: EventQueue;
  engines: readonly ModelledEngine[];
  dataCentreOf: (engine: number) => string;
  pickDispatcher: () => Dispatcher;
  collector: MetricsCollector;
  /** Called with the engine of each answer that begins. */
  onHead: (dispatcher: Dispatcher, engine: number) => void;
};

/**
 * Models one caller, from its first try until it has an answer, is refused for
 * good or gives up.
 */
export class ModelledCaller {
  #options: Options;
  /** The request sent for the current try; undefined between tries. */
  #attempt:
    | { request: EngineRequest; engine: number; dispatcher: Dispatcher }
    | undefined;
  #attemptFirstEventAt: number | undefined;
  #lastEventAt: number | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  start(): void {
    const { call, events, settings } = this.#options;
    events.after(call.kind.patience_ms, () => this.#finish("left"));
    events.after(settings.silence_ms, () => {
      if (call.firstEventAt === undefined) this.#finish("left");
    });
    this.#try();
  }

  #try(): void {
    const { call, events, pickDispatcher } = this.#options;
    if (call.outcome !== undefined) return;
    call.tries += 1;
    const dispatcher = pickDispatcher();
    const decision = dispatcher.decide(call, events.now);
    if (decision.kind === "refuse") {
      return this.#scheduleRetry(decision.retryAfterMilliseconds);
    }
    this.#send(dispatcher, decision.engine, decision.rank);
  }

  #send(dispatcher: Dispatcher, engine: number, rank: number): void {
    const { call, dataCentreOf, events, settings, collector } = this.#options;
    const isCrossDataCentre = dataCentreOf(engine) !== call.dataCentre;
    const latencyMilliseconds = settings.way_ms +
      (isCrossDataCentre ? settings.crossing_ms : 0);
    collector.recordSend(isCrossDataCentre);
    const request: EngineRequest = {
      call,
      rank,
      pendingPromptTokens: call.promptTokens,
      pendingAnswerTokens: call.answerTokens,
      onEvent: () => this.#handleEvent(),
      onEnd: (isComplete) => this.#handleEnd(isComplete),
    };
    this.#attempt = { request, engine, dispatcher };
    events.after(latencyMilliseconds, () => this.#deliver());
  }

  #deliver(): void {
    if (this.#attempt === undefined) return;
    const { engines, events, call } = this.#options;
    const { request, engine, dispatcher } = this.#attempt;
    if (engines[engine]!.tryEnqueue(request)) return;
    this.#attempt = undefined;
    dispatcher.recordRejection(call, engine, events.now);
    this.#scheduleRetry(RETRY_DELAY_MILLISECONDS);
  }

  #handleEvent(): void {
    const { call, events, engines, settings } = this.#options;
    const { dispatcher, engine } = this.#attempt!;
    call.longestPauseMilliseconds = Math.max(
      call.longestPauseMilliseconds,
      events.now - (this.#lastEventAt ?? events.now),
    );
    this.#lastEventAt = events.now;
    dispatcher.recordEvent(engine, events.now);
    if (this.#attemptFirstEventAt !== undefined) return;
    this.#attemptFirstEventAt = events.now;
    this.#options.onHead(dispatcher, engine);
    call.firstEventAt ??= events.now;
    dispatcher.recordFirstEvent(call, engine, events.now);
    if (!settings.answers_tell_load) return;
    const report = { now: events.now, age: settings.way_ms };
    const { running, waiting } = engines[engine]!;
    dispatcher.recordLoadReport(engine, { running, waiting }, report);
  }

  #handleEnd(isComplete: boolean): void {
    const { call } = this.#options;
    this.#releaseEngine();
    if (!isComplete) return this.#scheduleRetry(RETRY_DELAY_MILLISECONDS);
    const firstEventMilliseconds = call.firstEventAt! - call.startedAt;
    const isTimely = firstEventMilliseconds <= call.kind.target_ms &&
      call.longestPauseMilliseconds <= (call.kind.pause_ms ?? Infinity);
    this.#finish(isTimely ? "in-time" : "late");
  }

  #releaseEngine(): void {
    const { call, events, engines } = this.#options;
    if (this.#attempt === undefined) return;
    const { request, engine, dispatcher } = this.#attempt;
    this.#attempt = undefined;
    engines[engine]!.remove(request);
    const slotHoldMilliseconds = this.#attemptFirstEventAt &&
      events.now - this.#attemptFirstEventAt;
    this.#attemptFirstEventAt = undefined;
    dispatcher.recordEnd(call, engine, slotHoldMilliseconds);
  }

  #scheduleRetry(milliseconds: number): void {
    const { call, events } = this.#options;
    const patienceLeft = call.abandonedAt - events.now;
    const willRetry = call.tries < MAX_TRIES &&
      milliseconds <= patienceLeft * MAX_RETRY_DELAY_SHARE;
    if (!willRetry) return this.#finish("refused");
    events.after(milliseconds, () => this.#try());
  }

  #finish(outcome: CallOutcome): void {
    const { call, collector } = this.#options;
    if (call.outcome !== undefined) return;
    call.outcome = outcome;
    this.#releaseEngine();
    collector.recordEnd(call);
  }
}
