import type { BackendChoice } from "@teaselrouter/core/gateway/backend_choice.ts";
import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { admitCall } from "./admit_call.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { BackendAttempt } from "./backend_attempt.ts";
import type { CallEnd } from "./call_end.ts";
import type { CallRefusal } from "./call_refusal.ts";
import type { GatewayWorld } from "./gateway_world.ts";
import { collectAnswer } from "./collect_answer.ts";
import { refuseCall } from "./refuse_call.ts";
import { StreamRelay } from "./stream_relay.ts";

/** Answers of plain services are some hundred bytes; larger ones stream. */
const MOST_COLLECTED_BYTES = 65_536;

type Options = {
  world: GatewayWorld;
  request: IncomingMessage;
  response: ServerResponse;
};

/** One request of a client, from its head to the end of its answer. */
export class GatewayCall {
  #world: GatewayWorld;
  #request: IncomingMessage;
  #response: ServerResponse;
  #attempt: BackendAttempt | undefined;
  #tried = new Set<string>();
  #relay: StreamRelay | undefined;
  #weightsVersion: number | undefined;
  /** A backend server may have begun to work on it. */
  #mayHaveRun = false;
  #isOver = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: Options) {
    this.#world = options.world;
    this.#request = options.request;
    this.#response = options.response;
  }

  /** Never rejects; every way out ends the answer. */
  async run(): Promise<void> {
    const admitted = await admitCall(this.#world, this.#request);
    if (admitted.isErr) return this.#refuse(undefined, admitted.error);
    const call = admitted.value;
    this.#world.retries.countRequest();
    this.#response.once("close", () => this.#noteLeft(call));
    const left = call.endsAt - monotonicMilliseconds();
    this.#timer = setTimeout(() => this.#giveUp(call), Math.max(0, left));
    await this.#place(call);
  }

  /** Sends it, and again where that is allowed, until it is answered. */
  async #place(call: AdmittedCall): Promise<void> {
    let lastReason = "";
    while (!this.#isOver) {
      const choice = this.#choose(call);
      if (choice === undefined) {
        return this.#refuse(
          call,
          lastReason === ""
            ? this.#refusal(call, "no backend server takes it now", "outage")
            : this.#refusal(call, lastReason, "busy"),
        );
      }
      if (this.#tried.size > 0 && !this.#maySendAgain(call)) {
        const reason = `${lastReason}; no further send is allowed`;
        return this.#refuse(call, this.#refusal(call, reason, "busy"));
      }
      const outcome = await this.#send(call, choice);
      if (this.#isOver) return;
      if (outcome.kind === "answer") {
        const end = await this.#pass(call, choice, outcome);
        if (end === "over") return;
        lastReason = "the answer broke off";
      } else lastReason = outcome.reason;
      if (outcome.kind !== "not-run") this.#mayHaveRun = true;
      if (this.#mayHaveRun && !this.#mayRepeat(call)) {
        return this.#refuse(call, { status: 502, reason: lastReason });
      }
    }
  }

  /** "Not run" is said only of what no backend server can have begun. */
  #refusal(
    call: AdmittedCall,
    reason: string,
    cause: "outage" | "busy",
  ): CallRefusal {
    if (this.#mayHaveRun) return { status: 502, reason };
    const retryAfterMilliseconds = retryAfter({
      cause,
      patienceMilliseconds: call.endsAt - call.startedAt,
      random: this.#world.random(),
    });
    return { status: 503, reason, retryAfterMilliseconds };
  }

  #choose(call: AdmittedCall): BackendChoice | undefined {
    return this.#world.pool.choose({
      service: call.service.name,
      engine: call.service.engine,
      model: call.facts.model,
      promptTokens: call.facts.promptTokens,
      tried: this.#tried,
      weightsVersion: this.#weightsVersion,
    });
  }

  #maySendAgain(call: AdmittedCall): boolean {
    return this.#tried.size < call.route.maxBackends &&
      this.#world.retries.trySpend();
  }

  /** Streams may go on elsewhere only behind an event that has an id. */
  #mayRepeat(call: AdmittedCall): boolean {
    const { kind, resumable } = call.route;
    if (kind === "safe") return this.#relay === undefined;
    return kind === "stream" && resumable &&
      (this.#relay === undefined || this.#relay.canBeGoneOnWith);
  }

  async #send(
    call: AdmittedCall,
    choice: BackendChoice,
  ): Promise<AttemptOutcome> {
    const { connections, format, log } = this.#world;
    const { standing, record } = choice;
    this.#tried.add(standing.instance);
    record.inFlight += 1;
    record.unreadTokens += call.facts.promptTokens;
    this.#attempt = new BackendAttempt({
      address: standing.address,
      agent: connections.agentFor(standing.address),
      method: call.method,
      path: call.path,
      body: call.body,
      id: call.id,
      format,
      headers: format.forwardHeaders(call.rawHeaders, {
        deadlineMilliseconds: Math.max(
          1,
          Math.floor(call.endsAt - monotonicMilliseconds()),
        ),
        instance: standing.instance,
        workspace: call.workspace,
        weightsVersion: this.#weightsVersion,
        resumesAfter: this.#relay?.lastEventId,
        rank: undefined,
      }),
    });
    const endWait = this.#boundWait(call, choice, this.#attempt);
    const outcome = await this.#attempt.outcome;
    endWait();
    record.unreadTokens -= call.facts.promptTokens;
    if (outcome.kind === "answer") return outcome;
    record.inFlight -= 1;
    if (this.#isOver) return outcome;
    log.info("send-failed", {
      id: call.id,
      instance: standing.instance,
      outcome: outcome.kind,
      reason: outcome.reason,
      sends: this.#tried.size,
    });
    this.#countFailure(choice, outcome);
    return outcome;
  }

  /** One that waits in an engine's queue must not begin on weights too old. */
  #boundWait(
    call: AdmittedCall,
    { standing }: BackendChoice,
    attempt: BackendAttempt,
  ): () => void {
    const { model } = call.facts;
    if (model === undefined) return () => {};
    const until = this.#world.pool.mayBeginUntil(standing, model);
    if (until === Infinity) return () => {};
    const timer = setTimeout(
      () => attempt.abort("its weights are too old to begin on"),
      Math.max(0, until - monotonicMilliseconds()),
    );
    return () => clearTimeout(timer);
  }

  #countFailure(
    { standing, record }: BackendChoice,
    outcome: Exclude<AttemptOutcome, { kind: "answer" }>,
  ): void {
    const now = monotonicMilliseconds();
    const isUnreachable = outcome.kind === "not-run" && outcome.isUnreachable;
    const isAside = isUnreachable
      ? record.leaveAside(now)
      : outcome.kind === "broken" && record.countFailure(now);
    if (!isAside) return;
    this.#world.log.warn("backend-server-aside", {
      instance: standing.instance,
      address: standing.address,
      reason: outcome.reason,
    });
  }

  /** Passes an answer on; "again" when another is to go on with it. */
  async #pass(
    call: AdmittedCall,
    choice: BackendChoice,
    { message, facts }: Extract<AttemptOutcome, { kind: "answer" }>,
  ): Promise<"over" | "again"> {
    const { record } = choice;
    const status = message.statusCode ?? 502;
    if (facts.load !== undefined) {
      record.takeReport(facts.load, monotonicMilliseconds());
    }
    const isGood = status >= 200 && status < 300;
    if (isGood && !facts.isSigned) {
      record.inFlight -= 1;
      this.#attempt!.abort("a success without a signature");
      return "again";
    }
    if (status >= 500 && this.#canTryElsewhere(call)) {
      record.inFlight -= 1;
      record.countFailure(monotonicMilliseconds());
      message.resume();
      return "again";
    }
    if (call.route.kind !== "stream" && this.#relay === undefined) {
      const whole = await this.#collect(call, choice, message);
      if (whole !== "large") return whole;
    }
    if (this.#relay === undefined) this.#begin(call, message);
    this.#weightsVersion ??= facts.weightsVersion;
    const end = await this.#relay!.relay(message);
    record.inFlight -= 1;
    if (this.#isOver) return "over";
    if (end === "complete" && !this.#attempt!.hasFailed) {
      this.#response.end();
      this.#noteAnswered(call, choice, status);
      return "over";
    }
    record.countFailure(monotonicMilliseconds());
    return "again";
  }

  /**
   * An answer that is no stream is passed on once it is whole: one that
   * breaks off is then never seen, and may be asked for again elsewhere.
   */
  async #collect(
    call: AdmittedCall,
    choice: BackendChoice,
    message: IncomingMessage,
  ): Promise<"over" | "again" | "large"> {
    const attempt = this.#attempt!;
    const body = await collectAnswer(message, MOST_COLLECTED_BYTES);
    if (this.#isOver) {
      choice.record.inFlight -= 1;
      return "over";
    }
    if (body.kind === "large") {
      this.#begin(call, message);
      this.#response.write(body.bytes);
      return "large";
    }
    choice.record.inFlight -= 1;
    if (body.kind === "broken" || attempt.hasFailed) {
      choice.record.countFailure(monotonicMilliseconds());
      return "again";
    }
    const status = message.statusCode ?? 502;
    const headers = this.#world.format.returnHeaders(message.rawHeaders);
    this.#response.writeHead(status, headers);
    this.#response.end(body.bytes);
    this.#noteAnswered(call, choice, status);
    return "over";
  }

  #noteAnswered(
    call: AdmittedCall,
    { standing, record }: BackendChoice,
    status: number,
  ): void {
    if (status < 500) record.countSuccess();
    else record.countFailure(monotonicMilliseconds());
    const reason = standing.instance;
    this.#finish(call, { status, reason, outcome: "answered" });
  }

  /** Whether a failure that a backend server answered can be made good. */
  #canTryElsewhere(call: AdmittedCall): boolean {
    return this.#mayRepeat(call) && this.#tried.size < call.route.maxBackends &&
      this.#choose(call) !== undefined;
  }

  #begin(call: AdmittedCall, message: IncomingMessage): void {
    const { kind, resumable } = call.route;
    const status = message.statusCode ?? 502;
    this.#relay = new StreamRelay({
      response: this.#response,
      wholeEvents: kind === "stream" && resumable && status === 200,
    });
    const headers = this.#world.format.returnHeaders(message.rawHeaders);
    this.#response.writeHead(status, headers);
    this.#world.counted.headMilliseconds.observe(
      { kind },
      monotonicMilliseconds() - call.startedAt,
    );
    if (kind === "stream") this.#response.flushHeaders();
  }

  #giveUp(call: AdmittedCall): void {
    if (this.#isOver) return;
    const isSent = this.#mayHaveRun || (this.#attempt?.isSent ?? false);
    this.#refuse(call, {
      status: isSent ? 504 : 503,
      reason: "the time for it is over",
    });
    this.#attempt?.abort("the time for it is over");
  }

  #noteLeft(call: AdmittedCall): void {
    if (this.#isOver) return;
    this.#finish(call, {
      status: 499,
      reason: "the client closed its connection",
      outcome: "client-left",
    });
    this.#attempt?.abort("the client has left");
  }

  /** The final answer, at once; an answer that began is broken off. */
  #refuse(call: AdmittedCall | undefined, refusal: CallRefusal): void {
    if (this.#isOver) return;
    const { status, reason } = refusal;
    const { format, isStopping } = this.#world;
    if (this.#response.headersSent) this.#response.destroy();
    else {
      refuseCall(this.#response, refusal, { closes: isStopping() });
      if (!this.#request.complete) this.#request.resume();
    }
    const isNotRun = format.promisesNotRun(status) || status < 500;
    this.#finish(call, {
      status,
      reason,
      outcome: isNotRun ? "not-run" : "unknown",
    });
  }

  #finish(call: AdmittedCall | undefined, end: CallEnd): void {
    this.#isOver = true;
    clearTimeout(this.#timer);
    this.#count(call, end);
    this.#world.log.info("request-ended", {
      id: call?.id ?? this.#world.format.readRequest(this.#request.headers).id,
      route: call?.route.name,
      service: call?.service.name,
      workspace: call?.workspace,
      sends: this.#tried.size,
      status: end.status,
      outcome: end.outcome,
      reason: end.reason,
      milliseconds: call &&
        Math.round(monotonicMilliseconds() - call.startedAt),
      configuration: this.#world.feed.table?.configuration.version,
    });
  }

  #count(call: AdmittedCall | undefined, { outcome }: CallEnd): void {
    const { counted } = this.#world;
    const kind = call?.route.kind ?? "none";
    counted.requests.inc({ kind, outcome });
    if (call === undefined) return;
    const milliseconds = monotonicMilliseconds() - call.startedAt;
    counted.requestMilliseconds.observe({ kind }, milliseconds);
  }
}
