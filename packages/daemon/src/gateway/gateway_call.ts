import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { BackendCandidate } from "@teaselrouter/core/gateway/backend_candidate.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { admitCall } from "./admit_call.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { AnswerForwarder } from "./answer_forwarder.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { CallFinisher } from "./call_finisher.ts";
import { CallRouting } from "./call_routing.ts";
import { CallSender } from "./call_sender.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { RefusalBuilder } from "./refusal_builder.ts";

type Answer = Extract<AttemptOutcome, { kind: "answer" }>;

/** An identical request may succeed at another gateway. */
const RETRY_ELSEWHERE_MILLISECONDS = 100;
const FAULT_REASON = "a fault of this gateway";

type Options = {
  context: GatewayContext;
  request: IncomingMessage;
  response: ServerResponse;
  /** Whether no request has arrived behind this one on its connection. */
  isLatest: () => boolean;
};

/** An admitted request and the objects that handle it. */
type ActiveCall = {
  call: AdmittedCall;
  sender: CallSender;
  forwarder: AnswerForwarder;
  routing: CallRouting;
  refusals: RefusalBuilder;
};

/** Handles one client request, from its head to the end of its answer. */
export class GatewayCall {
  #context: GatewayContext;
  #request: IncomingMessage;
  #response: ServerResponse;
  #startedAt = monotonicMilliseconds();
  #finisher: CallFinisher;
  #active: ActiveCall | undefined;
  #stopWatchingSilence = () => {};

  constructor(options: Options) {
    this.#context = options.context;
    this.#request = options.request;
    this.#response = options.response;
    this.#finisher = new CallFinisher(options);
  }

  /** Never rejects; every path ends the response. */
  async run(): Promise<void> {
    try {
      await this.#handle();
    } catch (error) {
      this.#endAfterFault(error);
    }
  }

  /**
   * Ends the request, whatever has come of it, as the gateway is about to stop.
   */
  endForStop(): void {
    if (this.#finisher.isOver) return;
    const reason = "this gateway stops";
    this.#guard(() => {
      this.#refuseAsFarAsKnown(reason);
      this.#active?.sender.abort(reason);
    });
  }

  async #handle(): Promise<void> {
    const context = this.#context;
    const response = this.#response;
    await this.#holdUntilConfigured();
    const admitted = await admitCall(context, this.#request, this.#startedAt);
    if (admitted.isErr) return this.#finisher.refuse(undefined, admitted.error);
    if (this.#finisher.isOver) return;
    const call = admitted.value;
    const isOver = () => this.#finisher.isOver;
    const sender = new CallSender(context, call);
    const forwarder = new AnswerForwarder({ context, call, response, isOver });
    const { tried } = sender;
    const routing = new CallRouting({ context, call, forwarder, tried });
    const refusals = new RefusalBuilder(context, call);
    const active: ActiveCall = {
      call,
      sender,
      forwarder,
      routing,
      refusals,
    };
    this.#active = active;
    context.retries.countRequest();
    // The connection was closed while the request was held or its body read:
    // "close" is not emitted again.
    if (response.destroyed) return this.#handleDisconnect(active);
    response.once(
      "close",
      () => this.#guard(() => this.#handleDisconnect(active)),
    );
    const left = call.deadlineAt - monotonicMilliseconds();
    this.#finisher.startTimer(
      left,
      () => this.#guard(() => this.#handleTimeout(active)),
    );
    const stopWatching = context.crashes.watch({
      call,
      abort: (blame) => this.#guard(() => this.#abortBlamed(active, blame)),
    });
    try {
      await this.#sendUntilAnswered(active);
    } finally {
      stopWatching();
    }
  }

  /**
   * Holds the request until a configuration is known: without one it has no
   * route.
   */
  async #holdUntilConfigured(): Promise<void> {
    const { feed, startHold } = this.#context;
    while (feed.table === undefined && !this.#response.destroyed) {
      if (!await startHold.wait(this.#startedAt)) return;
    }
  }

  /**
   * Sends the request, again where that is allowed, until it is answered or
   * refused.
   */
  async #sendUntilAnswered(active: ActiveCall): Promise<void> {
    const { sender, forwarder, routing, refusals } = active;
    let lastReason = "";
    while (!this.#finisher.isOver) {
      const blame = this.#context.crashes.checkBlame(active.call);
      if (blame !== undefined) return this.#refuseBlamed(active, blame);
      const candidate = routing.choose();
      if (candidate === undefined) {
        if (await this.#waitForBackends(active)) continue;
        return this.#refuseWithoutBackend(active, lastReason);
      }
      if (sender.tried.size > 0 && !routing.trySpendRetry()) {
        const reason = `${lastReason}; no further send is allowed`;
        return this.#finisher.refuse(active, refusals.build(reason, "busy"));
      }
      const placement = routing.place(candidate);
      if (placement.kind === "refused") {
        const reason = "its backend servers have no room";
        return this.#finisher.refuse(
          active,
          refusals.build(reason, "overload"),
        );
      }
      const stopWatching = this.#watchSilence(active, candidate);
      const outcome = await sender.send(candidate, {
        placement,
        weightsVersion: routing.weightsVersion,
        resumesAfter: forwarder.lastEventId,
      });
      const end = await this.#handleOutcome(active, candidate, outcome);
      stopWatching();
      if (end === "over") return;
      lastReason = end;
      refusals.mayHaveRun ||= outcome.kind !== "not-run";
      if (refusals.mayHaveRun && !routing.isRetryable) {
        return this.#finisher.refuse(active, {
          status: 502,
          reason: lastReason,
        });
      }
    }
  }

  /**
   * Waits for an update after the gateway's start, as the request's backend
   * servers may not be known yet. False if the request was sent before, if
   * backend servers are known that accept no requests now, or if it may not be
   * held.
   */
  #waitForBackends({ call, sender, routing }: ActiveCall): Promise<boolean> {
    const mayWait = sender.tried.size === 0 &&
      routing.listPushingBack().length === 0;
    if (!mayWait) return Promise.resolve(false);
    return this.#context.startHold.wait(call.startedAt);
  }

  /**
   * Returns "over" when the request has ended, otherwise why the attempt
   * failed.
   */
  async #handleOutcome(
    active: ActiveCall,
    candidate: BackendCandidate,
    outcome: AttemptOutcome,
  ): Promise<string> {
    if (this.#finisher.isOver) {
      if (outcome.kind === "answer") candidate.record.inFlight -= 1;
      return "over";
    }
    if (outcome.kind === "answer") {
      const end = await this.#handleAnswer(active, candidate, outcome);
      return end === "over" ? end : "the answer broke off";
    }
    active.sender.recordFailedAttempt(candidate, outcome);
    if (outcome.kind === "broken" && !outcome.isAborted) {
      this.#recordBreak(active, candidate, undefined);
    }
    return outcome.reason;
  }

  #watchSilence(
    { sender, routing }: ActiveCall,
    { record }: BackendCandidate,
  ): () => void {
    this.#stopWatchingSilence = this.#context.silence.watch({
      isSilent: () => record.isSilent(monotonicMilliseconds()),
      canFailOver: () =>
        !this.#finisher.isOver && routing.canFailOver() &&
        this.#context.retries.hasRetries,
      abort: () => sender.abort("its backend server has fallen silent"),
    });
    return this.#stopWatchingSilence;
  }

  /**
   * Forwards an answer to the client; "again" when another backend server is to
   * be asked.
   */
  async #handleAnswer(
    active: ActiveCall,
    { announcement, record }: BackendCandidate,
    { message, metadata }: Answer,
  ): Promise<"over" | "again"> {
    const { sender, forwarder, routing } = active;
    const status = message.statusCode ?? 502;
    const now = monotonicMilliseconds();
    if (metadata.load !== undefined) record.recordReport(metadata.load, now);
    const isGood = status >= 200 && status < 300;
    if (isGood && !metadata.isSigned) {
      record.inFlight -= 1;
      sender.abort("a success without a signature");
      return "again";
    }
    // Pushback is no failure.
    const acceptsRequests = () =>
      metadata.requestedPause === undefined &&
      !this.#context.pushbacks.isShuttingDown(announcement);
    if (status >= 500 && routing.canFailOver()) {
      record.inFlight -= 1;
      if (acceptsRequests()) record.recordFailure(now);
      message.resume();
      return "again";
    }
    if (isGood) record.endHalfOpen();
    routing.weightsVersion ??= metadata.weightsVersion;
    const end = await forwarder.forward(message, () => sender.hasFailed)
      .finally(() => record.inFlight -= 1);
    if (this.#finisher.isOver) return "over";
    if (end === "broken" || status >= 500) {
      if (acceptsRequests()) record.recordFailure(monotonicMilliseconds());
    } else {
      record.recordSuccess();
      record.recordSlotHoldTime(monotonicMilliseconds() - now);
    }
    if (end === "broken") {
      if (!sender.isAborted) {
        this.#recordBreak(active, { announcement, record }, now);
      }
      this.#context.log.info("answer-broken", {
        id: active.call.id,
        instance: announcement.instance,
        last_event: forwarder.lastEventId,
        sends: sender.tried.size,
      });
      return "again";
    }
    this.#response.end();
    if (isGood) this.#context.crashes.recordSuccess(active.call);
    const reason = announcement.instance;
    this.#finisher.finish(active, { status, reason, outcome: "answered" });
    return "over";
  }

  #recordBreak(
    { call, sender }: ActiveCall,
    { announcement }: BackendCandidate,
    headAt: number | undefined,
  ): void {
    // The end of a process that shuts down is no sign that a request crashed it.
    if (this.#context.pushbacks.isShuttingDown(announcement)) return;
    // Only streams send their head when work on them begins. Other answers are
    // sent at the end: for these, work counts from the sending of the request.
    const begunAt = call.route.kind === "stream" ? headAt : sender.sentAt;
    this.#context.crashWatch.recordBrokenRequest({
      call,
      announcement,
      begunAt,
    });
  }

  /**
   * Ends a request that was blamed for crashes. One whose answer has begun goes
   * on: it is too late to keep it off the backend server.
   */
  #abortBlamed(active: ActiveCall, blame: Blame): void {
    if (this.#finisher.isOver || active.forwarder.hasBegun) return;
    active.refusals.mayHaveRun ||= active.sender.isSent;
    this.#refuseBlamed(active, blame);
    active.sender.abort("it ends what runs it");
  }

  #refuseBlamed(active: ActiveCall, blame: Blame): void {
    this.#finisher.refuse(active, active.refusals.buildBlamed(blame));
  }

  /** Handles an event: thrown from there, an exception would end the process. */
  #guard(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.#endAfterFault(error);
    }
  }

  /**
   * Ends a request whose handling has thrown. An answer that has begun is cut
   * off.
   */
  #endAfterFault(error: unknown): void {
    this.#logFault(error);
    try {
      this.#refuseAsFarAsKnown(FAULT_REASON);
    } catch (later) {
      this.#logFault(later);
    }
    this.#active?.sender.abort(FAULT_REASON);
    this.#stopWatchingSilence();
    if (!this.#response.writableEnded) this.#response.destroy();
  }

  #logFault(error: unknown): void {
    this.#context.log.error("request-failed", {
      id: this.#active?.call.id,
      reason: error instanceof Error ? error.stack : error,
    });
  }

  /** Refuses the request as unknown, or as not run if nothing was sent. */
  #refuseAsFarAsKnown(reason: string): void {
    const active = this.#active;
    if (active === undefined) {
      return this.#finisher.refuse(undefined, {
        status: 503,
        reason,
        retryAfterMilliseconds: RETRY_ELSEWHERE_MILLISECONDS,
      });
    }
    const { refusals, sender } = active;
    refusals.mayHaveRun ||= sender.isSent;
    this.#finisher.refuse(active, refusals.build(reason, "busy"));
  }

  #handleTimeout(active: ActiveCall): void {
    if (this.#finisher.isOver) return;
    const isSent = active.refusals.mayHaveRun || active.sender.isSent;
    const reason = "the time for it is over";
    this.#finisher.refuse(active, { status: isSent ? 504 : 503, reason });
    active.sender.abort(reason);
  }

  #handleDisconnect(active: ActiveCall): void {
    if (this.#finisher.isOver) return;
    const reason = "the client closed its connection";
    this.#finisher.finish(active, {
      status: 499,
      reason,
      outcome: "client-left",
    });
    active.sender.abort("the client has left");
  }

  #refuseWithoutBackend(active: ActiveCall, lastReason: string): void {
    const { refusals, routing } = active;
    const waitMilliseconds = routing.millisecondsUntilCapacity();
    if (waitMilliseconds !== undefined) {
      return this.#finisher.refuse(
        active,
        refusals.buildLimited(waitMilliseconds),
      );
    }
    const paused = refusals.buildPaused(routing.listPushingBack());
    if (paused !== undefined) return this.#finisher.refuse(active, paused);
    const refusal = lastReason === ""
      ? refusals.build("no backend server takes it now", "outage")
      : refusals.build(lastReason, "busy");
    this.#finisher.refuse(active, refusal);
  }
}
