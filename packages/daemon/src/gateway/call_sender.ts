import type { BackendCandidate } from "@teaselrouter/core/gateway/backend_candidate.ts";
import { toRank } from "@teaselrouter/core/room/to_rank.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { Placement } from "@teaselrouter/core/gateway/placement.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import { BackendAttempt } from "./backend_attempt.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { SentAttempt } from "./sent_attempt.ts";

/**
 * Placement of an attempt, and where it resumes a stream that another backend
 * server began.
 */
type SendOptions = {
  /** Whether the backend server's record counts the request already. */
  isCounted: boolean;
  weightsVersion: number | undefined;
  resumesAfter: string | undefined;
  placement: Placement;
};

/** Sends one request to backend servers and keeps track of those tried. */
export class CallSender {
  /** Instances that the request was sent to. */
  readonly tried = new Set<string>();
  #context: GatewayContext;
  #call: AdmittedCall;
  #attempts: SentAttempt[] = [];

  constructor(context: GatewayContext, call: AdmittedCall) {
    this.#context = context;
    this.#call = call;
  }

  /**
   * Whether a byte of the request may have reached a backend server that
   * hasn't refused it.
   */
  get isSent(): boolean {
    return this.#attempts.some(({ isSent, hasEnded }) => isSent && !hasEnded);
  }

  /**
   * Each attempt in order, for the log: its instance, when it began after the
   * request's start and what time it told, in milliseconds, and whether it took
   * a retry; undefined without any.
   */
  describeSends(): string | undefined {
    if (this.#attempts.length === 0) return undefined;
    return this.#attempts.map((sent) => {
      const after = Math.round(sent.sentAt - this.#call.startedAt);
      const told = sent.toldMilliseconds ?? "unsent";
      const { instance } = sent.candidate.announcement;
      return `${instance}@${after}/${told}${sent.isRetry ? "/retry" : ""}`;
    }).join(",");
  }

  /** Aborts all attempts that have not ended. */
  abort(reason: string): void {
    for (const attempt of this.#attempts) attempt.abort(reason);
  }

  /** No record counts an attempt any more. */
  endAll(): void {
    for (const attempt of this.#attempts) attempt.end();
  }

  /**
   * Sends the request to `candidate` and updates that backend server's record.
   * An attempt that gets no answer has ended with its outcome; after an answer
   * the caller ends it.
   */
  send(candidate: BackendCandidate, options: SendOptions): SentAttempt {
    const { announcement, record } = candidate;
    const { promptTokens } = this.#call.metadata;
    const sentAt = monotonicMilliseconds();
    if (!options.isCounted) record.beginRequest(sentAt);
    const isRetry = this.tried.size > 0;
    const attempt = this.#openCounted(candidate, options);
    this.tried.add(announcement.instance);
    this.#context.namedLimits.countSend(announcement);
    this.#context.dispatch.gate.countSend(announcement, sentAt);
    const timelyCount = options.placement.kind === "timely" ? 1 : 0;
    record.pendingPromptTokens += promptTokens;
    record.timelyUnanswered += timelyCount;
    const use = this.#context.dispatch.room.countSend({
      service: announcement.service,
      instance: announcement.instance,
      urgency: this.#call.urgency,
      rank: this.#rankOf(options.placement),
      promptTokens,
      now: sentAt,
    });
    const { pushbacks } = this.#context;
    const settleSend = pushbacks.countSend(announcement);
    const cancelWeightsTimer = this.#onWeightsExpired(
      candidate,
      () => sent.abort("its weights are too old to begin on"),
    );
    const stopWithdrawing = pushbacks.onClosed(
      announcement,
      () => attempt.withdraw("its backend server accepts no requests now"),
    );
    const outcome = attempt.outcome.then((settled) => {
      stopWithdrawing();
      cancelWeightsTimer();
      settleSend(settled.kind === "answer");
      use?.endWait();
      record.pendingPromptTokens -= promptTokens;
      record.timelyUnanswered -= timelyCount;
      if (settled.kind === "answer") {
        this.#trackLiveness(sent, settled);
      } else sent.end();
      return settled;
    });
    const sent = new SentAttempt({
      candidate,
      attempt,
      sentAt,
      isRetry,
      outcome,
      use,
      onGivenUp: (given) => this.#recordGivenUp(given),
    });
    this.#attempts.push(sent);
    return sent;
  }

  /**
   * Logs a failed attempt and counts it against its backend server, also if
   * this gateway aborted the attempt, unless another one took over. Ejects the
   * backend server if no connection to it was made, or once its failure rate is
   * too high. An attempt that the backend server refused as not run, or broke
   * off after it had announced its shutdown, is only logged.
   */
  recordFailedAttempt(
    { candidate: { announcement, record }, isReplaced }: SentAttempt,
    outcome: Exclude<AttemptOutcome, { kind: "answer" }>,
  ): void {
    const { log, pushbacks } = this.#context;
    log.info("send-failed", {
      id: this.#call.id,
      instance: announcement.instance,
      outcome: outcome.kind,
      reason: outcome.reason,
      sends: this.tried.size,
    });
    if (isReplaced || pushbacks.isShuttingDown(announcement)) return;
    const now = monotonicMilliseconds();
    const isUnreachable = outcome.kind === "not-run" && outcome.isUnreachable;
    const isEjected = isUnreachable
      ? record.eject(now)
      : outcome.kind === "broken" && record.recordFailure(now);
    if (!isEjected) return;
    log.warn("backend-server-aside", {
      instance: announcement.instance,
      address: announcement.address,
      reason: outcome.reason,
    });
  }

  #recordGivenUp(sent: SentAttempt): void {
    const { firstByteAt } = sent;
    const headAt = this.#call.route.kind === "stream" ? sent.headAt : undefined;
    this.#context.givenUp.record({
      call: this.#call,
      announcement: sent.candidate.announcement,
      begunAt: headAt ?? firstByteAt,
      sentAt: firstByteAt,
    });
  }

  /**
   * Records the time to the answer's head, and each part of the answer as a
   * sign that its backend server is alive. The answer is paused, and stays so
   * until it is read.
   */
  #trackLiveness(
    sent: SentAttempt,
    { message, metadata }: Extract<AttemptOutcome, { kind: "answer" }>,
  ): void {
    const { candidate: { record, announcement }, sentAt } = sent;
    const { crashWatch } = this.#context;
    // Who answers without a signature may be a proxy.
    const recordAnswer = () => {
      if (!metadata.isSigned) return;
      crashWatch.recordAnswer(announcement, sent.firstByteAt);
    };
    recordAnswer();
    const now = monotonicMilliseconds();
    sent.headAt = now;
    record.recordResponseTime(now - sentAt);
    record.recordDataReceived(now);
    if (sent.answer.isEventStream) sent.beginEvents(now);
    message.on("data", () => {
      record.recordDataReceived(monotonicMilliseconds());
      recordAnswer();
    });
    message.on("pause", () => sent.pauseReading());
    message.on("resume", () => sent.resumeReading());
  }

  /** Opens an attempt that is counted, but no longer if it can't be opened. */
  #openCounted(
    candidate: BackendCandidate,
    options: SendOptions,
  ): BackendAttempt {
    try {
      return this.#openAttempt(candidate, options);
    } catch (error) {
      candidate.record.inFlight -= 1;
      throw error;
    }
  }

  #rankOf({ kind, rank }: Placement): number {
    return rank ?? toRank(this.#call.rank, kind === "late");
  }

  #openAttempt(
    { announcement }: BackendCandidate,
    { weightsVersion, resumesAfter, placement }: SendOptions,
  ): BackendAttempt {
    const { connections, format, namedLimits, pushbacks, crashWatch } =
      this.#context;
    const call = this.#call;
    const buildHead = () => {
      const left = Math.floor(call.deadlineAt - monotonicMilliseconds());
      const deadlineMilliseconds = Math.max(1, left);
      const headers = format.buildForwardHeaders(call.rawHeaders, {
        weightsVersion,
        resumesAfter,
        deadlineMilliseconds,
        instance: announcement.instance,
        workspace: call.workspace,
        rank: this.#rankOf(placement),
      });
      return { headers, deadlineMilliseconds };
    };
    return new BackendAttempt({
      address: announcement.address,
      agent: connections.agentFor(announcement.address),
      method: call.method,
      path: call.path,
      body: call.body,
      buildHead,
      id: call.id,
      expectsEvents: call.route.kind === "stream" && call.route.resumable,
      format,
      onMetadata: (metadata) => {
        namedLimits.recordAnswer(announcement, metadata);
        pushbacks.recordAnswer(announcement, metadata, call.id);
        this.#countUnreadable(metadata.unreadableFields);
      },
      onMisdirected: ({ instance }) => {
        if (instance === undefined || instance === announcement.instance) {
          return;
        }
        crashWatch.recordMisdirection(announcement);
      },
    });
  }

  #countUnreadable(fields: readonly string[]): void {
    const { answerFieldsUnreadable } = this.#context.metrics;
    for (const field of fields) {
      answerFieldsUnreadable.inc({ field: field.split("=", 1)[0]! });
    }
  }

  /**
   * Calls `abort` when the engine's weights become too old: a request waiting in
   * the engine's queue must not begin on them. Returns a function that stops the
   * timer.
   */
  #onWeightsExpired(
    { announcement }: BackendCandidate,
    abort: () => void,
  ): () => void {
    const { model } = this.#call.metadata;
    if (model === undefined) return () => {};
    const until = this.#context.pool.weightsUsableUntil(announcement, model);
    if (until === Infinity) return () => {};
    const timer = setTimeout(
      abort,
      Math.max(0, until - monotonicMilliseconds()),
    );
    return () => clearTimeout(timer);
  }
}
