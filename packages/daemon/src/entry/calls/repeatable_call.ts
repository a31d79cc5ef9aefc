import { create } from "@bufbuild/protobuf";
import type { BackendServerRow } from "@teaselrouter/core/routing/backend_server_row.ts";
import type { OutlierDetector } from "@teaselrouter/core/routing/outlier_detector.ts";
import type { RetryBudget } from "@teaselrouter/core/routing/retry_budget.ts";
import type { Router } from "@teaselrouter/core/routing/router.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import { CallService, RunRequestSchema } from "@teaselrouter/messages/agent.ts";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { ClientPool } from "../../transport/client_pool.ts";
import { monotonicMilliseconds } from "../../transport/monotonic_milliseconds.ts";
import type { AnswerPart } from "./answer_part.ts";
import type { CallCrashes } from "./call_crashes.ts";
import type { CheckedCall } from "./checked_call.ts";
import { ExchangeReader } from "./exchange_reader.ts";
import type { Problem } from "../../http/problem.ts";

const PREFIX_BYTES = 256;
const SERVER_ERROR = 500;

type Services = {
  state: () => ControlState;
  router: Router;
  outliers: OutlierDetector;
  retries: RetryBudget;
  clients: ClientPool;
  crashes: CallCrashes;
};

type Refused = Extract<AnswerPart, { kind: "refused" }>;

type Attempt =
  | { kind: "answered" }
  | { kind: "failed"; mayMove: boolean; problem: Problem };

/** One call that may be repeated: it can move until its answer has begun. */
export class RepeatableCall {
  #services: Services;
  #call: CheckedCall;
  #response: ServerResponse;
  #given = new AbortController();
  #tried = new Set<string>();

  constructor(services: Services, call: CheckedCall, response: ServerResponse) {
    this.#services = services;
    this.#call = call;
    this.#response = response;
  }

  /** Answers the caller, or says why there is no whole answer. */
  async run(): Promise<Problem | undefined> {
    const leave = () => this.#given.abort("caller-left");
    const timer = setTimeout(
      () => this.#given.abort("deadline"),
      this.#remaining(),
    );
    this.#response.once("close", leave);
    this.#services.retries.countCall();
    try {
      return await this.#tryUntilAnswered();
    } finally {
      clearTimeout(timer);
      this.#response.off("close", leave);
    }
  }

  async #tryUntilAnswered(): Promise<Problem | undefined> {
    let last: Problem | undefined;
    while (true) {
      const decision = this.#services.router.route(this.#services.state(), {
        service: this.#call.service,
        prefix: this.#call.body.toString("latin1", 0, PREFIX_BYTES),
        deadlineMilliseconds: this.#remaining(),
        tried: this.#tried,
        now: Date.now(),
      });
      if (decision.kind === "refuse") return last ?? refusalProblem(decision);
      const attempt = await this.#attempt(decision.to);
      if (attempt.kind === "answered") return undefined;
      last = afterEarlier(last, attempt.problem);
      this.#tried.add(decision.to.backendServer);
      if (!attempt.mayMove || this.#given.signal.aborted) return last;
      const { crashes } = this.#services;
      if (!crashes.maySendAgain(this.#call)) return last;
      if (crashes.refusal(this.#call) !== undefined) return last;
      if (!this.#services.retries.tryRetry()) return last;
    }
  }

  async #attempt(row: BackendServerRow): Promise<Attempt> {
    const request = create(RunRequestSchema, {
      requestId: randomUUID(),
      workspace: this.#call.workspace,
      path: this.#call.path,
      body: this.#call.body,
      contentType: this.#call.contentType,
      deadlineMilliseconds: this.#remaining(),
      priority: this.#call.priority,
    });
    const reader = new ExchangeReader({
      clients: this.#services.clients,
      address: row.internalAddress,
      request,
      signal: this.#given.signal,
      attachOnly: false,
    });
    row.ownInFlight += 1;
    try {
      const attempt = await this.#pass(reader, row);
      if (this.#given.signal.aborted) this.#cancel(row, request.requestId);
      return attempt;
    } finally {
      row.ownInFlight -= 1;
    }
  }

  async #pass(
    reader: ExchangeReader,
    row: BackendServerRow,
  ): Promise<Attempt> {
    const response = this.#response;
    const { crashes } = this.#services;
    // An agent names an end only to calls that its backend server had.
    let begunAt = monotonicMilliseconds();
    for await (const part of reader.read()) {
      switch (part.kind) {
        case "start":
          if (part.status >= SERVER_ERROR) {
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
          if (!response.write(part.bytes)) await this.#untilDrained();
          break;
        case "end":
          response.end();
          this.#services.outliers.recordSuccess(row);
          crashes.noteGoodEnd(this.#call);
          return { kind: "answered" };
        case "refused":
          if (part.endedIncarnation !== "") {
            crashes.noteEnd(this.#call, part.endedIncarnation, begunAt);
          }
          return this.#refused(part);
        case "broken":
          return this.#fail(row, part.reason, "unknown");
      }
    }
    return this.#givenUp();
  }

  async #untilDrained(): Promise<void> {
    await once(this.#response, "drain", { signal: this.#given.signal })
      .catch(() => undefined);
  }

  /** The agent gives no whole answer, and says whether the call has run. */
  #refused({ reason, outcome, retryAfterMilliseconds }: Refused): Attempt {
    return {
      kind: "failed",
      mayMove: !this.#response.headersSent,
      problem: {
        status: outcome === "not-run" ? 503 : 502,
        type: reason,
        detail: `the backend server refused the call: ${reason}`,
        outcome,
        retryAfterMilliseconds,
      },
    };
  }

  #fail(
    row: BackendServerRow,
    reason: string,
    outcome: Problem["outcome"],
  ): Attempt {
    this.#services.outliers.recordFailure(row, Date.now());
    return {
      kind: "failed",
      mayMove: !this.#response.headersSent,
      problem: {
        status: 502,
        type: reason,
        detail: `no whole answer from the backend server: ${reason}`,
        outcome,
        retryAfterMilliseconds: 1_000,
      },
    };
  }

  #givenUp(): Attempt {
    return {
      kind: "failed",
      mayMove: false,
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

  #remaining(): number {
    const { deadlineMilliseconds, receivedAt } = this.#call;
    return Math.max(1, receivedAt + deadlineMilliseconds - Date.now());
  }
}

/** What an earlier backend server had begun is not undone by a refusal. */
function afterEarlier(earlier: Problem | undefined, problem: Problem): Problem {
  const isPromise = problem.outcome === "not-run";
  if (!isPromise || earlier === undefined || earlier.outcome === "not-run") {
    return problem;
  }
  return { ...problem, status: 502, outcome: earlier.outcome };
}

function refusalProblem(
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
