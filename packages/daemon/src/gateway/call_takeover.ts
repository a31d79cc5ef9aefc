import type { TakeoverDecision } from "@teaselrouter/core/gateway/takeover_decision.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerForwarder } from "./answer_forwarder.ts";
import type { AttemptOutcome } from "./attempt_outcome.ts";
import type { CallRouting } from "./call_routing.ts";
import type { CallSender } from "./call_sender.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { SentAttempt } from "./sent_attempt.ts";
import type { SilenceEvidence } from "./silence_evidence.ts";

type FailedOutcome = Exclude<AttemptOutcome, { kind: "answer" }>;

type Options = {
  context: GatewayContext;
  call: AdmittedCall;
  sender: CallSender;
  forwarder: AnswerForwarder;
  routing: CallRouting;
  /** Called with each replacement that failed while the silent one is open. */
  onFailure: (sent: SentAttempt, outcome: FailedOutcome) => void;
};

/**
 * A backend server that takes over is left for a further one when it has been
 * silent itself for this long since the request was sent there.
 */
const REPLACEMENT_PATIENCE_MILLISECONDS = 700;

type Replacement = {
  from: SentAttempt;
  to: SentAttempt;
  /** Placement of the silent attempt, which counts again if it goes on. */
  previousPlacement: CallRouting["placement"];
};

/**
 * Has another backend server take over one request whose own has fallen silent.
 * The silent attempt stays open until the other backend server's answer begins.
 * If it goes on before, or if the other one fails, the client loses nothing.
 */
export class CallTakeover {
  /** Of the latest decision; undefined while no backend server was silent. */
  evidence: SilenceEvidence | undefined;
  #options: Options;
  #replacement: Replacement | undefined;
  #loggedReasons = new Set<string>();
  #hasFault = false;
  #isOver = false;

  constructor(options: Options) {
    this.#options = options;
  }

  /** @returns a function that ends the watch. */
  watch(sent: SentAttempt): () => void {
    const { context, forwarder } = this.#options;
    const { record } = sent.candidate;
    return context.silence.watch({
      isSilent: () =>
        !forwarder.isWaitingForClient &&
        record.isSilent(monotonicMilliseconds()),
      onSilence: () => this.#tryDecide(sent),
    });
  }

  /**
   * Attempt that goes on where the last one has ended, if one was begun. Its
   * answer may not have come yet.
   */
  takeReplacement(): SentAttempt | undefined {
    const to = this.#replacement?.to;
    this.#replacement = undefined;
    return to;
  }

  /**
   * Has another backend server answer instead of one that answered with a
   * failure. False if none can: the client then gets the failure.
   */
  tryBegin(failed: SentAttempt): boolean {
    if (this.#replacement === undefined) this.#tryDecide(failed);
    return this.#replacement !== undefined;
  }

  /**
   * As `cancel`, when the request is over. Its attempts end only with their
   * connections: until then, their servers' silence is no reason to send it.
   */
  stop(reason: string): void {
    this.#isOver = true;
    this.cancel(reason);
  }

  /** Ends a takeover whose answer has not begun: it is no longer needed. */
  cancel(reason: string): void {
    const replacement = this.#replacement;
    if (replacement === undefined) return;
    this.#replacement = undefined;
    this.#options.routing.placement = replacement.previousPlacement;
    this.#drop(replacement.to, reason);
    this.#log("cancelled", replacement, reason);
  }

  /**
   * Decides outside of the request's own handling: a fault here must end neither
   * the process nor the attempt.
   */
  #tryDecide(sent: SentAttempt): void {
    if (this.#hasFault || this.#isOver) return;
    try {
      this.#decide(sent);
    } catch (error) {
      this.#recordFault(error);
    }
  }

  #recordFault(error: unknown): void {
    this.#hasFault = true;
    const { context, call } = this.#options;
    const reason = error instanceof Error ? error.stack : String(error);
    context.log.error("request-failed", { id: call.id, reason });
  }

  #decide(sent: SentAttempt): void {
    if (sent.hasEnded || this.#isReplacementHeard()) return;
    const { routing } = this.#options;
    const { record } = sent.candidate;
    const now = monotonicMilliseconds();
    const decision = routing.decideTakeover();
    this.evidence = {
      silentMilliseconds: record.silentMilliseconds(now),
      retriesLeft: routing.retriesLeft,
      to: decision.kind === "take-over"
        ? decision.target.announcement.instance
        : undefined,
      keptReason: decision.kind === "keep" ? decision.reason : undefined,
    };
    if (decision.kind === "keep") this.#logKept(sent, decision.reason);
    else this.#begin(sent, decision);
  }

  /** Whether a takeover is under way whose backend server isn't silent too. */
  #isReplacementHeard(): boolean {
    if (this.#replacement === undefined) return false;
    const { sentAt, candidate } = this.#replacement.to;
    const now = monotonicMilliseconds();
    return now - sentAt < REPLACEMENT_PATIENCE_MILLISECONDS ||
      !candidate.record.isSilent(now);
  }

  #begin(
    from: SentAttempt,
    { target }: Extract<TakeoverDecision, { kind: "take-over" }>,
  ): void {
    const { sender, routing, forwarder } = this.#options;
    const left = this.#replacement;
    const previousPlacement = left?.previousPlacement ?? routing.placement;
    const to = sender.send(target, {
      isCounted: true,
      placement: routing.place(target),
      weightsVersion: routing.weightsVersion,
      resumesAfter: forwarder.lastEventId,
    });
    const replacement = { from, to, previousPlacement };
    this.#replacement = replacement;
    if (left !== undefined) this.#leaveSilent(left);
    this.#log("begun", replacement);
    to.outcome.then((outcome) => this.#handleOutcome(replacement, outcome))
      .catch((error) => this.#recordFault(error));
  }

  #handleOutcome(replacement: Replacement, outcome: AttemptOutcome): void {
    if (this.#replacement !== replacement) return;
    const { from, to } = replacement;
    if (outcome.kind === "answer" && this.#isUsable(to, outcome)) {
      from.isReplaced = true;
      from.candidate.record.ejectForSilence(monotonicMilliseconds());
      this.#log("done", replacement);
      from.abort("another backend server has taken over");
      return;
    }
    this.#replacement = undefined;
    this.#options.routing.placement = replacement.previousPlacement;
    if (outcome.kind === "answer") {
      const reason = `answered with ${outcome.message.statusCode}`;
      this.#drop(to, reason);
      this.#log("failed", replacement, reason);
      this.#options.onFailure(to, { kind: "broken", reason, isAborted: true });
      return;
    }
    this.#log("failed", replacement, outcome.reason);
    this.#options.onFailure(to, outcome);
  }

  /**
   * Whether the client gets this answer: a success, or, while it has got nothing
   * yet, what the backend server says of the request itself. Instead of a
   * failure of the backend server the silent one may still answer.
   */
  #isUsable(
    { answer }: SentAttempt,
    { message, metadata }: Extract<AttemptOutcome, { kind: "answer" }>,
  ): boolean {
    const { hasBegun } = this.#options.forwarder;
    const status = message.statusCode ?? 0;
    if (status >= 200 && status < 300) {
      return metadata.isSigned && (!hasBegun || answer.isEventStream);
    }
    return status < 500 && !hasBegun;
  }

  /** Ends a takeover by a backend server that has fallen silent as well. */
  #leaveSilent(replacement: Replacement): void {
    const { to } = replacement;
    const reason = "it is silent too";
    to.isReplaced = true;
    to.candidate.record.ejectForSilence(monotonicMilliseconds());
    this.#drop(to, reason);
    this.#log("failed", replacement, reason);
    this.#options.onFailure(to, { kind: "broken", reason, isAborted: true });
  }

  #drop(sent: SentAttempt, reason: string): void {
    sent.abort(reason);
    sent.end();
  }

  #logKept(sent: SentAttempt, reason: string): void {
    if (this.#loggedReasons.has(reason)) return;
    this.#loggedReasons.add(reason);
    const { context, call } = this.#options;
    context.metrics.takeovers.inc({ change: "not-begun" });
    context.log.info("takeover", {
      id: call.id,
      change: "not-begun",
      from: sent.candidate.announcement.instance,
      reason,
      ...this.#evidenceFields(),
    });
  }

  #log(
    change: "begun" | "done" | "cancelled" | "failed",
    { from, to }: Replacement,
    reason?: string,
  ): void {
    const { context, call, forwarder } = this.#options;
    context.metrics.takeovers.inc({ change });
    context.log.info("takeover", {
      id: call.id,
      change,
      from: from.candidate.announcement.instance,
      to: to.candidate.announcement.instance,
      reason,
      last_event: forwarder.lastEventId,
      ...this.#evidenceFields(),
    });
  }

  #evidenceFields() {
    const { evidence } = this;
    return {
      silent_milliseconds: evidence && Math.round(evidence.silentMilliseconds),
      retries_left: evidence && Math.floor(evidence.retriesLeft),
    };
  }
}
