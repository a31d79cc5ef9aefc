import type { ReportedLoad } from "@teaselrouter/core/gateway/reported_load.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import { discardRest } from "../http/discard_rest.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { admitCall } from "./admit_call.ts";
import type { ActiveCall } from "./active_call.ts";
import { AnswerForwarder } from "./answer_forwarder.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { CallFinisher } from "./call_finisher.ts";
import { CallInterruptions } from "./call_interruptions.ts";
import type { CallRefusal } from "./call_refusal.ts";
import { CallRouting } from "./call_routing.ts";
import { CallSender } from "./call_sender.ts";
import { CallTakeover } from "./call_takeover.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { RefusalBuilder } from "./refusal_builder.ts";
import type { SentAttempt } from "./sent_attempt.ts";

type Answer = Extract<AttemptOutcome, { kind: "answer" }>;

type Options = {
  context: GatewayContext;
  request: IncomingMessage;
  response: ServerResponse;
  /** Whether no request has arrived behind this one on its connection. */
  isLatest: () => boolean;
  /** When its head arrived, monotonic milliseconds. */
  startedAt: number;
  /** The refusal of what has not been read whole before a stop, once due. */
  lateRefusal?: () => CallRefusal | undefined;
};

/** Handles one client request, from its head to the end of its answer. */
export class GatewayCall {
  #context: GatewayContext;
  #request: IncomingMessage;
  #response: ServerResponse;
  #startedAt: number;
  #finisher: CallFinisher;
  #interruptions: CallInterruptions;
  #releaseBody: () => void = () => undefined;
  #lateRefusal: () => CallRefusal | undefined;

  constructor(options: Options) {
    this.#context = options.context;
    this.#request = options.request;
    this.#startedAt = options.startedAt;
    this.#response = options.response;
    this.#lateRefusal = options.lateRefusal ?? (() => undefined);
    this.#finisher = new CallFinisher(options);
    this.#interruptions = new CallInterruptions(options, this.#finisher);
  }

  /** Never rejects; every path ends the response. */
  async run(): Promise<void> {
    try {
      await this.#handle();
    } catch (error) {
      this.#interruptions.endAfterFault(error);
    } finally {
      this.#releaseBody();
    }
  }

  /** See `CallInterruptions.endForStop`. */
  endForStop(): void {
    this.#interruptions.endForStop();
  }

  async #handle(): Promise<void> {
    const context = this.#context;
    const response = this.#response;
    await this.#holdUntilConfigured();
    const admitted = await admitCall(context, this.#request, {
      startedAt: this.#startedAt,
      onBody: (release) => {
        this.#releaseBody = release;
      },
    });
    if (admitted.isErr) return this.#finisher.refuse(undefined, admitted.error);
    if (this.#finisher.isOver) return;
    const refusal = this.#lateRefusal();
    if (refusal !== undefined) return this.#finisher.refuse(undefined, refusal);
    const call = admitted.value;
    const isOver = () => this.#finisher.isOver;
    const sender = new CallSender(context, call);
    const forwarder = new AnswerForwarder({ context, call, response, isOver });
    const { tried } = sender;
    const routing = new CallRouting({ context, call, forwarder, tried });
    const refusals = new RefusalBuilder(context, call);
    const takeover = new CallTakeover({
      context,
      call,
      sender,
      forwarder,
      routing,
      onFailure: (sent, outcome) => {
        refusals.mayHaveRun ||= outcome.kind !== "not-run";
        this.#recordFailure(active, sent, outcome);
      },
    });
    const active: ActiveCall = {
      call,
      sender,
      forwarder,
      routing,
      refusals,
      takeover,
      progress: undefined,
    };
    context.retries.countRequest(
      call.service.name,
      call.startedAt,
      monotonicMilliseconds(),
    );
    const stopWatching = this.#interruptions.watch(active);
    try {
      await this.#sendUntilAnswered(active);
    } finally {
      stopWatching();
      takeover.stop("the request has ended");
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
    const { routing, refusals, takeover } = active;
    let lastReason = "";
    while (!this.#finisher.isOver) {
      const blame = this.#context.crashes.checkBlame(active.call);
      if (blame !== undefined) {
        return this.#interruptions.refuseBlamed(active, blame);
      }
      const sent = takeover.takeReplacement() ??
        await this.#sendOrRefuse(active, lastReason);
      if (sent === undefined) continue;
      const stopWatching = takeover.watch(sent);
      const outcome = await sent.outcome;
      const end = await this.#handleOutcome(active, sent, outcome)
        .finally(stopWatching);
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
   * Sends the request to the best backend server. Undefined after it was
   * refused instead, or has waited for a backend server.
   */
  async #sendOrRefuse(
    active: ActiveCall,
    lastReason: string,
  ): Promise<SentAttempt | undefined> {
    const { sender, forwarder, routing, refusals } = active;
    const decision = routing.decide();
    const hasServer = decision.kind !== "no-server" &&
      !(decision.kind === "refuse" && decision.reason === "no-allowed-place");
    if (!hasServer && await this.#waitForBackends(active)) return undefined;
    if (decision.kind === "no-server") {
      this.#refuseWithoutBackend(active, lastReason);
      return undefined;
    }
    if (decision.kind !== "send") {
      this.#finisher.refuse(
        active,
        refusals.buildDecided(decision, lastReason),
      );
      return undefined;
    }
    const { candidate, placement } = decision;
    return sender.send(candidate, {
      isCounted: false,
      placement,
      weightsVersion: routing.weightsVersion,
      resumesAfter: forwarder.lastEventId,
    });
  }

  /**
   * Waits for an update after the gateway's start, as the request's backend
   * servers may not be known yet. False if the request was sent before, if
   * backend servers are known that accept no requests now or are cold, or if it
   * may not be held.
   */
  #waitForBackends({ call, sender, routing }: ActiveCall): Promise<boolean> {
    const mayWait = sender.tried.size === 0 &&
      routing.listPushingBack().length === 0 &&
      routing.millisecondsUntilColdPlace() === undefined;
    if (!mayWait) return Promise.resolve(false);
    return this.#context.startHold.wait(call.startedAt);
  }

  /**
   * Returns "over" when the request has ended, otherwise why the attempt
   * failed.
   */
  async #handleOutcome(
    active: ActiveCall,
    sent: SentAttempt,
    outcome: AttemptOutcome,
  ): Promise<string> {
    if (this.#finisher.isOver) {
      sent.end();
      return "over";
    }
    if (outcome.kind === "answer") {
      const end = await this.#handleAnswer(active, sent, outcome);
      sent.end();
      return end === "over" ? end : "the answer broke off";
    }
    this.#recordFailure(active, sent, outcome);
    return outcome.reason;
  }

  #recordFailure(
    active: ActiveCall,
    sent: SentAttempt,
    outcome: Exclude<AttemptOutcome, Answer>,
  ): void {
    active.sender.recordFailedAttempt(sent, outcome);
    if (outcome.kind === "broken" && !outcome.isAborted) {
      this.#recordBreak(active, sent, undefined);
    }
  }

  /**
   * Forwards an answer to the client; "again" when another backend server is to
   * be asked.
   */
  async #handleAnswer(
    active: ActiveCall,
    sent: SentAttempt,
    { message, metadata }: Answer,
  ): Promise<"over" | "again"> {
    const { sender, forwarder, routing, takeover } = active;
    const { announcement, record } = sent.candidate;
    const status = message.statusCode ?? 502;
    const now = monotonicMilliseconds();
    if (metadata.load !== undefined) {
      record.recordReport(metadata.load, now);
      this.#observeSlowdown(active, metadata.load);
    }
    const isGood = status >= 200 && status < 300;
    if (isGood && !metadata.isSigned) {
      sent.abort("a success without a signature");
      return "again";
    }
    // Pushback is no failure.
    const acceptsRequests = () =>
      metadata.requestedPause === undefined &&
      !this.#context.pushbacks.isShuttingDown(announcement);
    const goesOn = isGood && sent.answer.isEventStream;
    if (forwarder.hasBegun && !goesOn) {
      // The client has the head of a stream: this body can't go on with it.
      if (status >= 500 && acceptsRequests()) record.recordFailure(now);
      discardRest(message);
      return "again";
    }
    if (status >= 500 && takeover.tryBegin(sent)) {
      if (acceptsRequests()) record.recordFailure(now);
      discardRest(message);
      return "again";
    }
    if (isGood) record.endHalfOpen();
    routing.weightsVersion ??= metadata.weightsVersion;
    takeover.cancel("its backend server answers");
    message.on("data", () => takeover.cancel("its backend server goes on"));
    const lastReceivedAt = () => record.lastReceivedAt;
    const { firstByteAt: sentAt } = sent;
    if (goesOn) active.progress = { sentAt, begunAt: now, lastReceivedAt };
    const end = await forwarder.forward(message, sent.answer);
    active.progress = undefined;
    sent.end();
    const { framing, end: answerEnd } = sent.answer;
    this.#context.metrics.answersEnded.inc({ framing, end: answerEnd });
    if (this.#finisher.isOver) return "over";
    if (end === "broken" || status >= 500) {
      if (acceptsRequests() && !sent.isReplaced) {
        record.recordFailure(monotonicMilliseconds());
      }
    } else {
      record.recordSuccess();
      sent.recordSlotHoldTime(monotonicMilliseconds() - now);
    }
    if (end === "broken") {
      if (!sent.isAborted) this.#recordBreak(active, sent, now);
      this.#context.log.info("answer-broken", {
        id: active.call.id,
        instance: announcement.instance,
        framing,
        answer_end: answerEnd,
        last_event: forwarder.lastEventId,
        sends: sender.tried.size,
      });
      return "again";
    }
    this.#response.end();
    // Without an event, the end of a process can look like that of a stream.
    if (isGood && (!goesOn || forwarder.lastEventId !== undefined)) {
      this.#context.crashes.recordSuccess(active.call, {
        sentAt: sent.firstByteAt,
        isStream: goesOn,
      });
    }
    const reason = announcement.instance;
    this.#finisher.finish(active, {
      status,
      reason,
      outcome: "answered",
      framing,
      answerEnd,
    });
    return "over";
  }

  #observeSlowdown({ call }: ActiveCall, { slowdown }: ReportedLoad): void {
    if (slowdown === undefined) return;
    this.#context.metrics.reportedSlowdown.observe(
      { service: call.service.name },
      slowdown,
    );
  }

  #recordBreak(
    active: ActiveCall,
    sent: SentAttempt,
    headAt: number | undefined,
  ): void {
    const { announcement } = sent.candidate;
    // The end of a process that shuts down is no sign that a request crashed it.
    if (this.#context.pushbacks.isShuttingDown(announcement)) return;
    this.#context.crashWatch.recordBrokenRequest({
      call: active.call,
      announcement,
      begunAt: findWorkBegunAt(active, sent, headAt),
      sentAt: sent.firstByteAt,
    });
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
    const coldWait = routing.millisecondsUntilColdPlace();
    if (coldWait !== undefined) {
      return this.#finisher.refuse(active, refusals.buildCold(coldWait));
    }
    if (routing.isEvacuated) {
      const reason = "the data centres of its backend servers are evacuated";
      return this.#finisher.refuse(active, refusals.build(reason, "outage"));
    }
    const refusal = lastReason === ""
      ? refusals.build("no backend server takes it now", "outage")
      : refusals.build(lastReason, "busy");
    this.#finisher.refuse(active, refusal);
  }
}

/**
 * When a backend server began to work on a request. Only streams send their head
 * then. Other answers are sent at the end: for these, work counts from the
 * sending of the request.
 */
function findWorkBegunAt<HeadAt extends number | undefined>(
  { call }: ActiveCall,
  { sentAt }: SentAttempt,
  headAt: HeadAt,
): HeadAt | number {
  return call.route.kind === "stream" ? headAt : sentAt;
}
