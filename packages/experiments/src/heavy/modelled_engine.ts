import type { EventQueue } from "../overload/event_queue.ts";
import type { EngineRequest } from "./engine_request.ts";
import type { FleetSettings } from "./fleet_settings.ts";

type Options = { events: EventQueue; engine: FleetSettings["engine"] };

/**
 * Simulates a model engine with continuous batching. It works in passes: each
 * pass decodes some tokens of all answers in progress and prefills a limited
 * number of prompt tokens, which delays the decoding.
 */
export class ModelledEngine {
  #options: Options;
  #waiting: EngineRequest[] = [];
  #active: EngineRequest[] = [];
  #isPassRunning = false;
  #isDown = false;
  /** Factor by which work takes longer than usual. */
  slowdown = 1;

  constructor(options: Options) {
    this.#options = options;
  }

  get running(): number {
    return this.#active.length;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  get isDown(): boolean {
    return this.#isDown;
  }

  /** Requests in slots, exposed for a dispatcher with complete knowledge. */
  get activeRequests(): readonly EngineRequest[] {
    return this.#active;
  }

  /** Requests in the queue, in order; exposed for the same dispatcher. */
  get waitingRequests(): readonly EngineRequest[] {
    return this.#waiting;
  }

  /**
   * Adds a request to the queue, behind those of the same or a lower rank.
   * Returns false if the engine is full or has an outage.
   */
  tryEnqueue(request: EngineRequest): boolean {
    const { queue, slots } = this.#options.engine;
    const isFull = this.#active.length >= slots &&
      this.#waiting.length >= queue;
    if (this.#isDown || isFull) return false;
    const index = this.#waiting.findIndex(({ rank }) => rank > request.rank);
    this.#waiting.splice(index < 0 ? this.#waiting.length : index, 0, request);
    this.#startPass();
    return true;
  }

  /** Removes a request that has ended or whose caller gave up. */
  remove(request: EngineRequest): void {
    this.#waiting = this.#waiting.filter((other) => other !== request);
    this.#active = this.#active.filter((other) => other !== request);
  }

  /** Interrupts all requests and accepts none until the outage ends. */
  startOutage(): void {
    this.#isDown = true;
    const interrupted = [...this.#active, ...this.#waiting];
    this.#active = [];
    this.#waiting = [];
    for (const { onEnd } of interrupted) onEnd(false);
  }

  endOutage(): void {
    this.#isDown = false;
  }

  #startPass(): void {
    if (this.#isPassRunning) return;
    this.#admitWaiting();
    if (this.#active.length === 0) return;
    this.#isPassRunning = true;
    const decoding = this.#active.filter(({ pendingPromptTokens }) =>
      pendingPromptTokens === 0
    );
    const prefilledTokens = this.#prefill();
    const { engine, events } = this.#options;
    const stepMilliseconds = engine.step_ms +
      engine.step_per_request_ms * decoding.length;
    const decodeMilliseconds = decoding.length > 0
      ? engine.steps_per_pass * stepMilliseconds
      : 0;
    const prefillMilliseconds = prefilledTokens / engine.read_tokens_per_ms;
    const usualMilliseconds = Math.max(
      engine.step_ms,
      decodeMilliseconds + prefillMilliseconds,
    );
    events.after(
      usualMilliseconds * this.slowdown,
      () => {
        this.#isPassRunning = false;
        this.#decode(decoding);
        this.#emitFirstTokens(decoding);
        this.#startPass();
      },
    );
  }

  #admitWaiting(): void {
    const { slots } = this.#options.engine;
    while (this.#active.length < slots && this.#waiting.length > 0) {
      this.#active.push(this.#waiting.shift()!);
    }
  }

  /**
   * Prefills prompts in order, up to the limit of one pass. Returns the number
   * of tokens prefilled.
   */
  #prefill(): number {
    let remainingTokens = this.#options.engine.pass_tokens;
    for (const request of this.#active) {
      const tokens = Math.min(remainingTokens, request.pendingPromptTokens);
      request.pendingPromptTokens -= tokens;
      remainingTokens -= tokens;
    }
    return this.#options.engine.pass_tokens - remainingTokens;
  }

  /** Emits the first token of each request whose prefill has just completed. */
  #emitFirstTokens(decoding: EngineRequest[]): void {
    const prefilled = this.#active.filter((request) =>
      request.pendingPromptTokens === 0 && !decoding.includes(request)
    );
    for (const request of prefilled) {
      request.pendingAnswerTokens -= 1;
      request.onEvent();
      if (request.pendingAnswerTokens <= 0) this.#finish(request);
    }
  }

  #decode(decoding: EngineRequest[]): void {
    const { steps_per_pass } = this.#options.engine;
    for (const request of decoding) {
      if (!this.#active.includes(request)) continue;
      request.pendingAnswerTokens -= steps_per_pass;
      request.onEvent();
      if (request.pendingAnswerTokens <= 0) this.#finish(request);
    }
  }

  #finish(request: EngineRequest): void {
    this.remove(request);
    request.onEnd(true);
  }
}
