import { create } from "@bufbuild/protobuf";
import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import type { RetryPurse } from "@teaselrouter/core/retries/retry_purse.ts";
import type { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import type { RetryBudgets } from "@teaselrouter/core/retries/retry_budgets.ts";
import type { Router } from "@teaselrouter/core/routing/router.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { CallService, RunRequestSchema } from "@teaselrouter/messages/agent.ts";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { ClientPool } from "../../transport/client_pool.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import type { AnswerCut } from "./answer_cut.ts";
import type { AnswerPart } from "./answer_part.ts";
import type { CallCrashDetector } from "./call_crash_detector.ts";
import type { CheckedCall } from "./checked_call.ts";
import type { RefusedRetry } from "./refused_retry.ts";
import { AGENT_UNREACHABLE } from "./agent_unreachable.ts";
import { ExchangeReader } from "./exchange_reader.ts";
import type { Problem } from "../../http/problem.ts";

const ROUTING_PREFIX_BYTES = 256;
const MIN_SERVER_ERROR_STATUS = 500;
const CALLER_LEFT = "caller-left";

type Services = {
  state: () => ControlState;
  router: Router;
  outliers: OutlierDetector;
  retries: RetryBudgets;
  clients: ClientPool;
  crashes: CallCrashDetector;
};

type Refused = Extract<AnswerPart, { kind: "refused" }>;

type Attempt =
  | { kind: "answered" }
  | { kind: "failed"; canRetry: boolean; problem: Problem };

/**
 * Runs one call that may be repeated. A failed attempt is retried on another
 * backend server as long as no part of the answer has been sent to the caller.
 */
export class RepeatableCall {
  #services: Services;
  #call: CheckedCall;
  #response: ServerResponse;
  #aborter = new AbortController();
  #triedBackendServers = new Set<string>();
  #cut: AnswerCut | undefined;
  #refusedRetry: RefusedRetry | undefined;

  constructor(services: Services, call: CheckedCall, response: ServerResponse) {
    this.#services = services;
    this.#call = call;
    this.#response = response;
  }

  /** Answers the caller, or returns why there is no complete answer. */
  async run(): Promise<Problem | undefined> {
    const abortOnClose = () => this.#aborter.abort(CALLER_LEFT);
    const timer = setTimeout(
      () => this.#aborter.abort("deadline"),
      this.#remainingMilliseconds(),
    );
    this.#response.once("close", abortOnClose);
    const now = monotonicMilliseconds();
    this.#services.retries.countRequest(this.#call.service, now, now);
    try {
      return await this.#tryUntilAnswered();
    } finally {
      clearTimeout(timer);
      this.#response.off("close", abortOnClose);
    }
  }

  /** Set if the answer broke off after its caller had got a part of it. */
  get cut(): AnswerCut | undefined {
    return this.#cut;
  }

  /** Set if the call failed and was not sent once more. */
  get refusedRetry(): RefusedRetry | undefined {
    return this.#refusedRetry;
  }

  async #tryUntilAnswered(): Promise<Problem | undefined> {
    let lastProblem: Problem | undefined;
    while (true) {
      const decision = this.#services.router.route(this.#services.state(), {
        service: this.#call.service,
        prefix: this.#call.body.toString("latin1", 0, ROUTING_PREFIX_BYTES),
        deadlineMilliseconds: this.#remainingMilliseconds(),
        tried: this.#triedBackendServers,
        now: Date.now(),
      });
      if (decision.kind === "refuse") return lastProblem ?? toProblem(decision);
      const attempt = await this.#attempt(decision.to);
      if (attempt.kind === "answered") return undefined;
      lastProblem = keepEarlierOutcome(lastProblem, attempt.problem);
      this.#triedBackendServers.add(decision.to.backendServer);
      if (!attempt.canRetry || this.#aborter.signal.aborted) return lastProblem;
      if (!this.#trySpendRetry()) return lastProblem;
    }
  }

  #trySpendRetry(): boolean {
    const { crashes } = this.#services;
    const now = monotonicMilliseconds();
    const isSuspected = !crashes.mayRetry(this.#call) ||
      crashes.checkBlame(this.#call) !== undefined;
    if (!isSuspected && this.#purse(now).trySpend(now)) return true;
    this.#refusedRetry = {
      service: this.#call.service,
      reason: isSuspected ? "suspected" : "no-retry-left",
      retriesLeft: Math.floor(this.#purse(now).left(now)),
      sends: this.#triedBackendServers.size,
    };
    return false;
  }

  /** Retries of all calls to the same service. */
  #purse(now: number): RetryPurse {
    return this.#services.retries.purseOf(this.#call.service, now);
  }

  async #attempt(row: BackendServerRow): Promise<Attempt> {
    const request = create(RunRequestSchema, {
      requestId: randomUUID(),
      workspace: this.#call.workspace,
      path: this.#call.path,
      body: this.#call.body,
      contentType: this.#call.contentType,
      deadlineMilliseconds: this.#remainingMilliseconds(),
      priority: this.#call.priority,
    });
    const reader = new ExchangeReader({
      clients: this.#services.clients,
      address: row.internalAddress,
      request,
      signal: this.#aborter.signal,
      attachOnly: false,
    });
    row.ownInFlight += 1;
    try {
      const attempt = await this.#relayAnswer(reader, row);
      this.#noteCut(attempt, {
        id: request.requestId,
        backendServer: row.backendServer,
        silentMilliseconds: Math.round(reader.silentMilliseconds),
      });
      if (this.#aborter.signal.aborted) this.#cancel(row, request.requestId);
      return attempt;
    } finally {
      row.ownInFlight -= 1;
    }
  }

  async #relayAnswer(
    reader: ExchangeReader,
    row: BackendServerRow,
  ): Promise<Attempt> {
    const response = this.#response;
    const { crashes } = this.#services;
    // The time of sending, then the time at which the answer starts. A call
    // counts as begun from its sending, as an agent reports an ended
    // incarnation only for calls that its backend server had received.
    let begunAt = monotonicMilliseconds();
    for await (const part of reader.read()) {
      switch (part.kind) {
        case "start":
          if (part.status >= MIN_SERVER_ERROR_STATUS) {
            return this.#fail(row, "backend-server-error", "ran");
          }
          begunAt = monotonicMilliseconds();
          response.statusCode = part.status;
          response.setHeader("Content-Type", part.contentType);
          if (part.version !== "") {
            response.setHeader("Teaselrouter-Weights", part.version);
          }
          break;
        case "data":
          if (!response.write(part.bytes)) await this.#waitForDrain();
          break;
        case "end":
          response.end();
          this.#services.outliers.recordSuccess(row);
          crashes.recordCompletion(this.#call);
          return { kind: "answered" };
        case "refused":
          if (part.endedIncarnation !== "") {
            crashes.recordCrash(this.#call, part.endedIncarnation, begunAt);
          } else if (part.outcome !== "not-run") {
            crashes.recordBreak(reader.requestId, this.#call, begunAt);
          }
          return this.#failRefused(part);
        case "broken":
          return this.#fail(row, part.reason, "unknown");
      }
    }
    return this.#failAborted();
  }

  #noteCut(
    attempt: Attempt,
    about: Pick<AnswerCut, "id" | "backendServer" | "silentMilliseconds">,
  ): void {
    const { signal } = this.#aborter;
    const isCut = attempt.kind === "failed" && this.#response.headersSent &&
      signal.reason !== CALLER_LEFT;
    if (!isCut) return;
    const now = monotonicMilliseconds();
    const isUnreachable = attempt.problem.type === AGENT_UNREACHABLE;
    this.#cut = {
      ...about,
      reason: signal.aborted
        ? "time-over"
        : isUnreachable
        ? "agent-unreachable"
        : "server-broke-off",
      detail: attempt.problem.type,
      retriesLeft: Math.floor(this.#purse(now).left(now)),
    };
  }

  async #waitForDrain(): Promise<void> {
    await once(this.#response, "drain", { signal: this.#aborter.signal })
      .catch(() => undefined);
  }

  /** The agent sent no complete answer, but reported whether the call ran. */
  #failRefused({ reason, outcome, retryAfterMilliseconds }: Refused): Attempt {
    return {
      kind: "failed",
      canRetry: !this.#response.headersSent,
      problem: {
        status: outcome === "not-run" ? 503 : 502,
        type: reason,
        detail: `the backend server refused the call: ${reason}`,
        outcome,
        retryAfterMilliseconds,
      },
    };
  }

  /** Counts a failure against the backend server. */
  #fail(
    row: BackendServerRow,
    reason: string,
    outcome: Problem["outcome"],
  ): Attempt {
    this.#services.outliers.recordFailure(row, Date.now());
    return {
      kind: "failed",
      canRetry: !this.#response.headersSent,
      problem: {
        status: 502,
        type: reason,
        detail: `no whole answer from the backend server: ${reason}`,
        outcome,
        retryAfterMilliseconds: 1_000,
      },
    };
  }

  /** Called if the deadline has passed or the caller has disconnected. */
  #failAborted(): Attempt {
    return {
      kind: "failed",
      canRetry: false,
      problem: {
        status: 504,
        type: "deadline-exceeded",
        detail: "the answer was not there by the deadline",
        outcome: "unknown",
        retryAfterMilliseconds: 1_000,
      },
    };
  }

  #cancel(row: BackendServerRow, requestId: string): void {
    this.#services.clients.client(CallService, row.internalAddress)
      .cancel({ requestId }, { timeoutMs: 1_000 })
      .catch(() => undefined);
  }

  #remainingMilliseconds(): number {
    const { deadlineMilliseconds, receivedAt } = this.#call;
    return Math.max(1, receivedAt + deadlineMilliseconds - Date.now());
  }
}

/**
 * Keeps the outcome of an earlier attempt if the later one reports "not-run":
 * the earlier backend server may have run the call.
 */
function keepEarlierOutcome(
  earlier: Problem | undefined,
  problem: Problem,
): Problem {
  const isNotRun = problem.outcome === "not-run";
  if (!isNotRun || earlier === undefined || earlier.outcome === "not-run") {
    return problem;
  }
  return { ...problem, status: 502, outcome: earlier.outcome };
}

function toProblem(
  refusal: { reason: string; retryAfterMilliseconds: number },
): Problem {
  return {
    status: 503,
    type: refusal.reason,
    detail: `no backend server can take the call: ${refusal.reason}`,
    outcome: "not-run",
    retryAfterMilliseconds: refusal.retryAfterMilliseconds,
  };
}
