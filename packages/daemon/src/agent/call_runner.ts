import { AgentClaims } from "@teaselrouter/core/claims/agent_claims.ts";
import { admitToQueue } from "@teaselrouter/core/routing/admit_to_queue.ts";
import type { RunRequest } from "@teaselrouter/messages/agent.ts";
import { CallOutcome } from "@teaselrouter/messages/agent.ts";
import { AgentLimit } from "./agent_limit.ts";
import type { AgentState } from "./agent_state.ts";
import { BackendCall } from "./backend_call.ts";
import { BackendEnds } from "./backend_ends.ts";
import type { EngineClient } from "./engine_client.ts";
import { Exchange } from "./exchange.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

const KEPT_MILLISECONDS = 60_000;
/** The longest deadline: an asked-for answer may be read again so long. */
const KEPT_UNREPEATABLE_MILLISECONDS = 600_000;
const UNREAD_MILLISECONDS = 5_000;
const MOST_KEPT_BYTES = 67_108_864;
const SWEEP_MILLISECONDS = 1_000;
const LEARNING_SHARE = 0.05;
const FIRST_GUESS_MILLISECONDS = 50;
const LOADING_RETRY_MILLISECONDS = 500;

type Waiting = { exchange: Exchange; start: () => void; priority: number };

/** Runs the calls of one backend server: no more at once than its slots. */
export class CallRunner {
  readonly claims: AgentClaims;
  #state: AgentState;
  #engine: EngineClient;
  #ends: BackendEnds;
  #limit = new AgentLimit();
  #exchanges = new Map<string, Exchange>();
  #running = 0;
  #queue: Waiting[] = [];
  #serviceMilliseconds = FIRST_GUESS_MILLISECONDS;
  #timer: NodeJS.Timeout;

  constructor(
    options: { state: AgentState; engine: EngineClient; incarnation: string },
  ) {
    this.#state = options.state;
    this.#engine = options.engine;
    this.#ends = new BackendEnds(options.incarnation);
    this.claims = new AgentClaims(options.incarnation);
    this.#timer = setInterval(() => this.#sweep(), SWEEP_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  get load() {
    return {
      running: this.#running,
      queued: this.#queue.length,
      serviceMilliseconds: this.#serviceMilliseconds,
    };
  }

  /** Nothing runs, waits, or is still being read. */
  get isIdle(): boolean {
    return this.#running === 0 && this.#queue.length === 0;
  }

  get isDelivered(): boolean {
    return [...this.#exchanges.values()].every((exchange) =>
      exchange.endedAt > 0 && exchange.unreadSince > 0
    );
  }

  find(requestId: string): Exchange | undefined {
    return this.#exchanges.get(requestId);
  }

  /** Starts a call, or finds it: the same request is never started twice. */
  run(request: RunRequest): Exchange {
    const known = this.#exchanges.get(request.requestId);
    if (known !== undefined) return known;
    const exchange = new Exchange(
      request.requestId,
      request.claimKey === "",
    );
    const settled = request.claimKey === ""
      ? undefined
      : this.#settledByClaim(request, exchange);
    if (settled !== undefined) return settled;
    this.#exchanges.set(request.requestId, exchange);
    this.#admit(request, exchange);
    return exchange;
  }

  /** What the claim says instead of running; undefined when it may run. */
  #settledByClaim(
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
        const notRun = verdict.outcome === "not-run";
        const outcome = notRun ? CallOutcome.NOT_RUN : CallOutcome.UNKNOWN;
        return this.#refuse(exchange, outcome, verdict.reason);
      }
    }
  }

  cancel(requestId: string): void {
    const exchange = this.#exchanges.get(requestId);
    if (exchange?.repeatable) exchange.cancelled.abort();
  }

  #admit(request: RunRequest, exchange: Exchange): void {
    const refusal = this.#state.refusal(Date.now());
    if (refusal !== undefined) {
      return this.#refuseUnrun(request, exchange, {
        reason: refusal,
        retryAfterMilliseconds: LOADING_RETRY_MILLISECONDS,
      });
    }
    const { slots } = this.#state.backend!;
    const retryAfterMilliseconds = admitToQueue(
      { ...this.load, slots },
      request.deadlineMilliseconds,
    );
    if (retryAfterMilliseconds > 0) {
      const refusal = { reason: "overloaded", retryAfterMilliseconds };
      return this.#refuseUnrun(request, exchange, refusal);
    }
    const untilRoom = this.#limit.take();
    if (untilRoom > 0) {
      return this.#refuseUnrun(request, exchange, {
        reason: "limited",
        retryAfterMilliseconds: untilRoom,
      });
    }
    const start = () => this.#start(request, exchange);
    if (this.#running < slots) start();
    else this.#enqueue({ exchange, start, priority: request.priority });
  }

  async #start(request: RunRequest, exchange: Exchange): Promise<void> {
    this.#running += 1;
    const startedAt = Date.now();
    const begunAt = monotonicMilliseconds();
    const call = new BackendCall({
      state: this.#state,
      engine: this.#engine,
      limit: this.#limit,
      request,
      exchange,
    });
    const outcome = await call.run();
    if (outcome.kind === "not-run") {
      this.#withdraw(request);
      this.#finishRefused(exchange, CallOutcome.NOT_RUN, outcome.reason);
    } else if (outcome.kind === "failed") {
      const ran = outcome.ran ? CallOutcome.RAN : CallOutcome.UNKNOWN;
      const { address } = this.#state.backend!;
      const ended = await this.#ends.nameEnd(address, begunAt);
      if (ended !== "") this.#limit.reset();
      this.#finishRefused(exchange, ran, outcome.reason, ended);
    } else {
      this.#learn(Date.now() - startedAt);
    }
    this.#running -= 1;
    this.#startNext();
  }

  /** Larger priorities first; equal ones in the order they came. */
  #enqueue(waiting: Waiting): void {
    const behind = this.#queue.findIndex(({ priority }) =>
      priority < waiting.priority
    );
    if (behind < 0) this.#queue.push(waiting);
    else this.#queue.splice(behind, 0, waiting);
  }

  /** A call left waiting while the engine began a load goes elsewhere. */
  #startNext(): void {
    const next = this.#queue.shift();
    if (next === undefined) return;
    if (next.exchange.cancelled.signal.aborted) {
      this.#finishRefused(next.exchange, CallOutcome.NOT_RUN, "cancelled");
      return this.#startNext();
    }
    next.start();
  }

  #refuseUnrun(
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

  /** "Not run" is a promise: a late copy of the call must find it kept. */
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

  #learn(milliseconds: number): void {
    this.#serviceMilliseconds += LEARNING_SHARE *
      (milliseconds - this.#serviceMilliseconds);
  }

  /** Drops old answers, and cancels work that nobody waits for. */
  #sweep(): void {
    const now = Date.now();
    let bytes = 0;
    for (const exchange of [...this.#exchanges.values()].reverse()) {
      bytes += exchange.bytes;
      const kept = exchange.repeatable
        ? KEPT_MILLISECONDS
        : KEPT_UNREPEATABLE_MILLISECONDS;
      const ended = exchange.endedAt > 0;
      const old = ended && now - exchange.endedAt > kept;
      const read = exchange.unreadSince > 0;
      if (old || (ended && read && bytes > MOST_KEPT_BYTES)) {
        this.#exchanges.delete(exchange.requestId);
      }
      const unread = read && now - exchange.unreadSince > UNREAD_MILLISECONDS;
      if (!ended && unread && exchange.repeatable) exchange.cancelled.abort();
    }
  }
}
