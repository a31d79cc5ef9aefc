import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnswerCut } from "./answer_cut.ts";
import type { EntryContext } from "../entry_context.ts";
import { checkCall } from "./check_call.ts";
import type { CheckedCall } from "./checked_call.ts";
import type { CallerIntake } from "../../http/caller_intake.ts";
import type { Problem } from "../../http/problem.ts";
import { readBody } from "../../http/read_body.ts";
import type { RefusedRetry } from "./refused_retry.ts";
import { RepeatableCall } from "./repeatable_call.ts";
import { sendProblem } from "../../http/send_problem.ts";
import { UnrepeatableCall } from "./unrepeatable_call.ts";
import { maskUnverifiedNotRun } from "./mask_unverified_not_run.ts";
import type { StatsdMetrics } from "../../metrics/statsd_metrics.ts";

type Options = {
  idleMilliseconds: number;
  intake: CallerIntake;
  metrics: StatsdMetrics;
  onAnswerCut: (cut: AnswerCut) => void;
  onRetryRefused: (refused: RefusedRetry) => void;
};

/** Handles callers' requests: checks them, applies limits and routes them. */
export class CallHandler {
  #context: EntryContext;
  #options: Options;

  constructor(context: EntryContext, options: Options) {
    this.#context = context;
    this.#options = options;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const startedAt = Date.now();
    const { metrics } = this.#options;
    try {
      const problem = await this.#processCall(request, response);
      if (problem === undefined) metrics.increment("calls.answered");
      else this.#sendRefusal(response, problem);
    } finally {
      metrics.timing("calls.milliseconds", Date.now() - startedAt);
    }
  }

  #sendRefusal(response: ServerResponse, problem: Problem): void {
    this.#options.metrics.increment("calls.refused", 1, {
      reason: problem.type,
    });
    sendProblem(response, problem);
  }

  /** Answers the call, or returns the problem to answer with. */
  async #processCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Problem | undefined> {
    const context = this.#context;
    const head = checkCall(request, {
      state: context.control.state,
      isRepeatable: (service) =>
        context.table.ofService(service).at(0)?.repeatable,
      now: Date.now(),
    });
    if (head.isErr) {
      response.setHeader("Connection", "close");
      return maskUnverifiedNotRun(request, head.error);
    }
    const { maximumBodyBytes, ...fields } = head.value;
    const body = await readBody(request, {
      maximumBytes: maximumBodyBytes,
      idleMilliseconds: this.#options.idleMilliseconds,
      intake: this.#options.intake,
    });
    if (body.isErr) {
      response.setHeader("Connection", "close");
      return maskUnverifiedNotRun(request, body.error);
    }
    const { bytes, release } = body.value;
    try {
      const limited = this.#checkRateLimit(fields.workspace);
      if (limited !== undefined) return maskUnverifiedNotRun(request, limited);
      return await this.#runCall({ ...fields, body: bytes }, request, response);
    } finally {
      release();
    }
  }

  #checkRateLimit(workspace: string): Problem | undefined {
    const now = Date.now();
    const admission = this.#context.limits.getLimiter(workspace, now)
      .admit(now);
    if (admission.admitted) return undefined;
    return {
      status: 429,
      type: "contract-rate-exceeded",
      detail: `workspace "${workspace}" is over its contract's rate`,
      outcome: "not-run",
      retryAfterMilliseconds: admission.retryAfterMilliseconds,
    };
  }

  async #runCall(
    call: CheckedCall,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Problem | undefined> {
    const context = this.#context;
    const refusal = context.crashes.checkBlame(call);
    if (refusal !== undefined) return maskUnverifiedNotRun(request, refusal);
    const repeatable = context.table.ofService(call.service).at(0)?.repeatable;
    if (repeatable !== false) {
      const services = { ...context, state: () => context.control.state };
      const repeatableCall = new RepeatableCall(services, call, response);
      const problem = await repeatableCall.run();
      const { cut, refusedRetry } = repeatableCall;
      if (refusedRetry !== undefined) {
        this.#options.onRetryRefused(refusedRetry);
      }
      if (cut !== undefined) this.#options.onAnswerCut(cut);
      return problem && maskUnverifiedNotRun(request, problem);
    }
    const outcome = await new UnrepeatableCall(context, call).run();
    // A claim that was cancelled in the log guarantees "not-run". Other
    // failures that were not decided by the log are guesses: the call may have
    // run earlier under the same key.
    if (outcome.kind === "not-run") return outcome.problem;
    if (outcome.kind === "failed") {
      return maskUnverifiedNotRun(request, outcome.problem);
    }
    const { status, contentType, body } = outcome.answer;
    response.writeHead(status, {
      "Content-Type": contentType,
      "Content-Length": body.length,
      "Teaselrouter-Outcome": "ran",
    });
    response.end(body);
    return undefined;
  }
}
