import type { IncomingMessage, ServerResponse } from "node:http";
import type { StatsD } from "hot-shots";
import type { EntryWorld } from "../entry_world.ts";
import { checkCall } from "./check_call.ts";
import type { CheckedCall } from "./checked_call.ts";
import type { Problem } from "../../http/problem.ts";
import { readBody } from "../../http/read_body.ts";
import { RepeatableCall } from "./repeatable_call.ts";
import { sendProblem } from "../../http/send_problem.ts";
import { UnrepeatableCall } from "./unrepeatable_call.ts";
import { withoutPromise } from "./without_promise.ts";

type Options = { idleMilliseconds: number; metrics: StatsD };

/** Takes callers' requests: checks, limits, then routes them. */
export class CallHandler {
  #world: EntryWorld;
  #options: Options;
  #inProgress = 0;

  constructor(world: EntryWorld, options: Options) {
    this.#world = world;
    this.#options = options;
  }

  get inProgress(): number {
    return this.#inProgress;
  }

  async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#inProgress += 1;
    const startedAt = Date.now();
    const { metrics } = this.#options;
    try {
      const problem = await this.#answer(request, response);
      if (problem === undefined) metrics.increment("calls.answered");
      else this.#refuse(response, problem);
    } finally {
      this.#inProgress -= 1;
      metrics.timing("calls.milliseconds", Date.now() - startedAt);
    }
  }

  #refuse(response: ServerResponse, problem: Problem): void {
    this.#options.metrics.increment("calls.refused", 1, {
      reason: problem.type,
    });
    sendProblem(response, problem);
  }

  async #answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Problem | undefined> {
    const world = this.#world;
    const head = checkCall(request, {
      state: world.control.state,
      isRepeatable: (service) =>
        world.table.ofService(service).at(0)?.repeatable,
      now: Date.now(),
    });
    if (head.isErr) {
      response.setHeader("Connection", "close");
      return withoutPromise(request, head.error);
    }
    const { maximumBodyBytes, ...fields } = head.value;
    const body = await readBody(request, {
      maximumBytes: maximumBodyBytes,
      idleMilliseconds: this.#options.idleMilliseconds,
    });
    if (body.isErr) {
      response.setHeader("Connection", "close");
      return withoutPromise(request, body.error);
    }
    const limited = this.#limit(fields.workspace);
    if (limited !== undefined) return withoutPromise(request, limited);
    return this.#route({ ...fields, body: body.value }, request, response);
  }

  #limit(workspace: string): Problem | undefined {
    const now = Date.now();
    const admission = this.#world.limits.limiter(workspace, now).admit(now);
    if (admission.admitted) return undefined;
    return {
      status: 429,
      type: "contract-rate-exceeded",
      detail: `workspace "${workspace}" is over its contract's rate`,
      outcome: "not-run",
      retryAfterMilliseconds: admission.retryAfterMilliseconds,
    };
  }

  async #route(
    call: CheckedCall,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<Problem | undefined> {
    const world = this.#world;
    const refusal = world.crashes.refusal(call);
    if (refusal !== undefined) return withoutPromise(request, refusal);
    const repeatable = world.table.ofService(call.service).at(0)?.repeatable;
    if (repeatable !== false) {
      const services = { ...world, state: () => world.control.state };
      const problem = await new RepeatableCall(services, call, response).run();
      return problem && withoutPromise(request, problem);
    }
    const outcome = await new UnrepeatableCall(world, call).run();
    // Withdrawn in the log, "not run" is a promise; else it is a guess.
    if (outcome.kind === "not-run") return outcome.problem;
    if (outcome.kind === "failed") {
      return withoutPromise(request, outcome.problem);
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
