import { AnswerMemory } from "@teaselrouter/core/answers/answer_memory.ts";
import { AgentClaims } from "@teaselrouter/core/claims/agent_claims.ts";
import { queueRetryAfterMilliseconds } from "@teaselrouter/core/routing/queue_retry_after_milliseconds.ts";
import { ServiceTimeEstimate } from "@teaselrouter/core/routing/service_time_estimate.ts";
import type { RunRequest } from "@teaselrouter/messages/agent.ts";
import { CallOutcome } from "@teaselrouter/messages/agent.ts";
import type { Subscription } from "rxjs";
import { BackendRateLimiter } from "./backend_rate_limiter.ts";
import type { AgentState } from "./agent_state.ts";
import { BackendCall } from "./backend_call.ts";
import { BackendIncarnations } from "./backend_incarnations.ts";
import type { EngineClient } from "./engine_client.ts";
import { Exchange } from "./exchange.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const REPEATABLE_RETENTION_MILLISECONDS = 60_000;
/**
 * The longest deadline of a call: for so long a client may ask for the answer
 * again.
 */
const UNREPEATABLE_RETENTION_MILLISECONDS = 600_000;
/**
 * What was sent to a reader may be lost: a path or an entry host that stands
 * still for two seconds finds its connection silent and asks on a new one.
 */
const READER_RETURN_MILLISECONDS = 2_500;
const UNREAD_TIMEOUT_MILLISECONDS = 5_000;
const MAX_KEPT_BYTES = 67_108_864;
const SWEEP_INTERVAL_MILLISECONDS = 1_000;
const UNAVAILABLE_RETRY_MILLISECONDS = 500;

type QueuedCall = {
  request: RunRequest;
  exchange: Exchange;
  start: () => void;
  priority: number;
};

/**
 * Runs the calls of one backend server, at most as many at once as it has
 * slots, and keeps their answers.
 */
export class CallRunner {
  readonly claims: AgentClaims;
  #state: AgentState;
  #engine: EngineClient;
  #incarnations: BackendIncarnations;
  #limit = new BackendRateLimiter();
  #exchanges = new Map<string, Exchange>();
  #memory = new AnswerMemory();
  #running = 0;
  #queue: QueuedCall[] = [];
  #serviceTime = new ServiceTimeEstimate();
  #timer: NodeJS.Timeout;
  #subscription: Subscription;

  constructor(
    options: { state: AgentState; engine: EngineClient; incarnation: string },
  ) {
    this.#state = options.state;
    this.#engine = options.engine;
    this.#incarnations = new BackendIncarnations(options.incarnation);
    this.claims = new AgentClaims(options.incarnation);
    this.#subscription = this.#state.pushback.changes$.subscribe(() =>
      this.#refuseQueued()
    );
    this.#subscription.add(
      this.#state.changed$.subscribe(() => this.#recordStart()),
    );
    this.#timer = setInterval(() => this.#sweep(), SWEEP_INTERVAL_MILLISECONDS);
  }

  /** Ends of the backend server that were proved late. */
  get lateEnds$(): BackendIncarnations["lateEnds$"] {
    return this.#incarnations.lateEnds$;
  }

  #recordStart(): void {
    const { backend } = this.#state;
    if (backend !== undefined) this.#incarnations.recordStart(backend);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#subscription.unsubscribe();
  }

  get load() {
    return {
      running: this.#running,
      queued: this.#queue.length,
      serviceMilliseconds: this.#serviceTime.milliseconds,
    };
  }

  /** Whether no call is running or queued. */
  get isIdle(): boolean {
    return this.#running === 0 && this.#queue.length === 0;
  }

  /**
   * Whether every kept answer has ended and has had no reader for so long that
   * none comes back. An answer that nobody ever read counts as delivered too.
   */
  get isDelivered(): boolean {
    const before = Date.now() - READER_RETURN_MILLISECONDS;
    return [...this.#exchanges.values()].every(({ endedAt, unreadSince }) =>
      endedAt > 0 && unreadSince > 0 &&
      Math.max(endedAt, unreadSince) <= before
    );
  }

  find(requestId: string): Exchange | undefined {
    return this.#exchanges.get(requestId);
  }

  /**
   * Starts, queues or refuses a call, and returns its exchange. The same
   * request is never started twice: a known request id gets the existing
   * exchange.
   */
  run(request: RunRequest): Exchange {
    const known = this.#exchanges.get(request.requestId);
    if (known !== undefined) return known;
    const exchange = new Exchange(
      request.requestId,
      request.claimKey === "",
    );
    const resolved = request.claimKey === ""
      ? undefined
      : this.#resolveClaim(request, exchange);
    if (resolved !== undefined) return resolved;
    this.#exchanges.set(request.requestId, exchange);
    this.#admit(request, exchange);
    return exchange;
  }

  /**
   * Checks the claim of a call. Returns the exchange of a call that arrived
   * under the same claim before, or a refused one; undefined when the call may
   * run.
   */
  #resolveClaim(
    request: RunRequest,
    exchange: Exchange,
  ): Exchange | undefined {
    const verdict = this.claims.admit({
      key: request.claimKey,
      claimIndex: request.claimIndex,
      incarnation: request.claimIncarnation,
      requestId: request.requestId,
    }, Date.now());
    switch (verdict.kind) {
      case "run":
        return undefined;
      case "attach":
        return this.#exchanges.get(verdict.requestId) ??
          this.#refuse(exchange, CallOutcome.UNKNOWN, "answer-dropped");
      case "refuse": {
        const isNotRun = verdict.outcome === "not-run";
        const outcome = isNotRun ? CallOutcome.NOT_RUN : CallOutcome.UNKNOWN;
        return this.#refuse(exchange, outcome, verdict.reason);
      }
    }
  }

  cancel(requestId: string): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange?.isRepeatable) exchange.canceller.abort();
  }

  #admit(request: RunRequest, exchange: Exchange): void {
    const pushback = this.#state.pushback.refusal;
    if (pushback !== undefined) {
      return this.#refuseNotRun(request, exchange, pushback);
    }
    const refusal = this.#state.refusalReason(Date.now());
    if (refusal !== undefined) {
      return this.#refuseNotRun(request, exchange, {
        reason: refusal,
        retryAfterMilliseconds: UNAVAILABLE_RETRY_MILLISECONDS,
      });
    }
    const { slots } = this.#state.backend!;
    const retryAfterMilliseconds = queueRetryAfterMilliseconds(
      { ...this.load, slots },
      request.deadlineMilliseconds,
    );
    if (retryAfterMilliseconds > 0) {
      const refusal = { reason: "overloaded", retryAfterMilliseconds };
      return this.#refuseNotRun(request, exchange, refusal);
    }
    const limitRetryMilliseconds = this.#limit.admit();
    if (limitRetryMilliseconds > 0) {
      return this.#refuseNotRun(request, exchange, {
        reason: "limited",
        retryAfterMilliseconds: limitRetryMilliseconds,
      });
    }
    const start = () => this.#start(request, exchange);
    if (this.#running < slots) start();
    else {
      const { priority } = request;
      this.#enqueue({ request, exchange, start, priority });
    }
  }

  async #start(request: RunRequest, exchange: Exchange): Promise<void> {
    this.#running += 1;
    const sentAt = monotonicMilliseconds();
    const backend = this.#state.backend!;
    const call = new BackendCall({
      memory: this.#memory,
      state: this.#state,
      engine: this.#engine,
      limit: this.#limit,
      request,
      exchange,
    });
    const outcome = await call.run();
    if (outcome.kind === "rejected") {
      this.#refuseNotRun(request, exchange, {
        reason: "paused",
        retryAfterMilliseconds: UNAVAILABLE_RETRY_MILLISECONDS,
        ...this.#state.pushback.refusal,
      });
    } else if (outcome.kind === "not-run") {
      this.#withdraw(request);
      this.#finishRefused(exchange, CallOutcome.NOT_RUN, outcome.reason);
    } else if (outcome.kind === "failed") {
      const callOutcome = outcome.isKnownToHaveRun
        ? CallOutcome.RAN
        : CallOutcome.UNKNOWN;
      const isEndExpected = this.#state.pushback.isShuttingDown;
      const endedIncarnation = await this.#incarnations.findEndedIncarnation({
        requestId: request.requestId,
        sentAt,
        backend,
        current: () => this.#state.backend!,
        isEndExpected,
      });
      if (endedIncarnation !== "") {
        this.#limit.reset();
        this.#state.pushback.reset();
      }
      this.#finishRefused(
        exchange,
        callOutcome,
        outcome.reason,
        // The end of a process that shuts down is no sign of a crash.
        isEndExpected ? "" : endedIncarnation,
      );
    } else {
      const { slots } = this.#state.backend!;
      this.#serviceTime.record(monotonicMilliseconds() - sentAt, slots);
      this.#incarnations.recordAnswer({ sentAt, backend });
    }
    this.#running -= 1;
    this.#startNext();
  }

  /** Larger priorities first; equal ones in order of arrival. */
  #enqueue(call: QueuedCall): void {
    const next = this.#queue.findIndex(({ priority }) =>
      priority < call.priority
    );
    if (next < 0) this.#queue.push(call);
    else this.#queue.splice(next, 0, call);
  }

  /**
   * Refuses all queued calls when the backend server accepts none: they can run
   * elsewhere.
   */
  #refuseQueued(): void {
    const refusal = this.#state.pushback.closedRefusal;
    if (refusal === undefined) return;
    const queued = this.#queue;
    this.#queue = [];
    for (const { request, exchange } of queued) {
      this.#refuseNotRun(request, exchange, refusal);
    }
  }

  /**
   * Starts the next queued call. One that was cancelled while it waited is
   * refused as not run.
   */
  #startNext(): void {
    const next = this.#queue.shift();
    if (next === undefined) return;
    if (next.exchange.canceller.signal.aborted) {
      this.#finishRefused(next.exchange, CallOutcome.NOT_RUN, "cancelled");
      return this.#startNext();
    }
    next.start();
  }

  #refuseNotRun(
    request: RunRequest,
    exchange: Exchange,
    refusal: { reason: string; retryAfterMilliseconds: number },
  ): void {
    this.#withdraw(request);
    exchange.refuse({
      outcome: CallOutcome.NOT_RUN,
      ...refusal,
      endedIncarnation: "",
    });
  }

  /**
   * Withdraws the claim of a call that is refused as "not run". The refusal
   * promises that the call never runs, so a delayed copy of the call must be
   * refused too.
   */
  #withdraw(request: RunRequest): void {
    if (request.claimKey === "") return;
    const { claimKey, claimIndex } = request;
    this.claims.withdraw(claimKey, claimIndex, Date.now());
  }

  #refuse(exchange: Exchange, outcome: CallOutcome, reason: string): Exchange {
    this.#finishRefused(exchange, outcome, reason);
    return exchange;
  }

  #finishRefused(
    exchange: Exchange,
    outcome: CallOutcome,
    reason: string,
    endedIncarnation = "",
  ): void {
    exchange.refuse({
      outcome,
      reason,
      retryAfterMilliseconds: 1_000,
      endedIncarnation,
    });
  }

  /**
   * Drops old answers, and cancels repeatable calls that have had no reader for
   * some time. Beyond the limit of kept bytes, answers of older calls without a
   * reader go first.
   */
  #sweep(): void {
    this.#incarnations.expire();
    const now = Date.now();
    let bytes = 0;
    for (const exchange of [...this.#exchanges.values()].reverse()) {
      bytes += exchange.bytes;
      const retentionMilliseconds = exchange.isRepeatable
        ? REPEATABLE_RETENTION_MILLISECONDS
        : UNREPEATABLE_RETENTION_MILLISECONDS;
      const ended = exchange.endedAt > 0;
      const isExpired = ended &&
        now - exchange.endedAt > retentionMilliseconds;
      const hasNoReader = exchange.unreadSince > 0;
      if (isExpired || (ended && hasNoReader && bytes > MAX_KEPT_BYTES)) {
        this.#exchanges.delete(exchange.requestId);
      }
      const unread = hasNoReader &&
        now - exchange.unreadSince > UNREAD_TIMEOUT_MILLISECONDS;
      if (!ended && unread && exchange.isRepeatable) exchange.canceller.abort();
    }
  }
}
