import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { ActiveCall } from "./active_call.ts";
import type { CallFinisher } from "./call_finisher.ts";
import type { CutReason } from "./cut_reason.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** An identical request may succeed at another gateway. */
const RETRY_ELSEWHERE_MILLISECONDS = 100;
const FAULT_REASON = "a fault of this gateway";

type Options = { context: GatewayContext; response: ServerResponse };

/**
 * Ends one request from outside of its handling: its client leaves, its time is
 * over, it is blamed, the gateway stops, or the handling throws.
 */
export class CallInterruptions {
  #options: Options;
  #finisher: CallFinisher;
  /** Undefined until the request is admitted. */
  #active: ActiveCall | undefined;

  constructor(options: Options, finisher: CallFinisher) {
    this.#options = options;
    this.#finisher = finisher;
  }

  /** @returns a function that ends the watch for blames. */
  watch(active: ActiveCall): () => void {
    this.#active = active;
    const { context, response } = this.#options;
    // If the connection was closed while the request was held or its body read,
    // "close" is not emitted again.
    if (response.destroyed) {
      this.#handleDisconnect(active);
      return () => {};
    }
    response.once(
      "close",
      () => this.#guard(() => this.#handleDisconnect(active)),
    );
    const { call } = active;
    this.#finisher.startTimer(
      call.deadlineAt - monotonicMilliseconds(),
      () => this.#guard(() => this.#handleTimeout(active)),
    );
    return context.crashes.watch({
      call,
      abort: (blame) => this.#guard(() => this.#abortBlamed(active, blame)),
      progress: () => active.progress,
    });
  }

  /**
   * Ends the request, whatever has come of it, as the gateway is about to stop.
   */
  endForStop(): void {
    if (this.#finisher.isOver) return;
    const reason = "this gateway stops";
    this.#guard(() => {
      this.#refuseAsFarAsKnown(reason, "stopping");
      if (this.#active !== undefined) this.#abortAttempts(this.#active, reason);
    });
  }

  /**
   * Ends a request that was blamed for crashes. One whose answer has begun goes
   * on: it is too late to keep it off the backend server.
   */
  #abortBlamed(active: ActiveCall, blame: Blame): void {
    if (this.#finisher.isOver || active.forwarder.hasBegun) return;
    active.refusals.mayHaveRun ||= active.sender.isSent;
    this.refuseBlamed(active, blame);
    this.#abortAttempts(active, "it ends what runs it");
  }

  refuseBlamed(active: ActiveCall, blame: Blame): void {
    this.#finisher.refuse(active, active.refusals.buildBlamed(blame));
  }

  /** Handles an event: thrown from there, an exception would end the process. */
  #guard(handle: () => void): void {
    try {
      handle();
    } catch (error) {
      this.endAfterFault(error);
    }
  }

  /**
   * Ends a request whose handling has thrown. An answer that has begun is cut
   * off.
   */
  endAfterFault(error: unknown): void {
    this.#logFault(error);
    try {
      this.#refuseAsFarAsKnown(FAULT_REASON, "fault");
    } catch (later) {
      this.#logFault(later);
    }
    this.#active?.takeover.stop(FAULT_REASON);
    this.#active?.sender.abort(FAULT_REASON);
    this.#active?.sender.endAll();
    if (!this.#options.response.writableEnded) this.#options.response.destroy();
  }

  #logFault(error: unknown): void {
    this.#options.context.log.error("request-failed", {
      id: this.#active?.call.id,
      reason: error instanceof Error ? error.stack : error,
    });
  }

  /** Refuses the request as unknown, or as not run if nothing was sent. */
  #refuseAsFarAsKnown(reason: string, cutReason: CutReason): void {
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
    const refusal = refusals.build(reason, "busy");
    this.#finisher.refuse(active, { ...refusal, cutReason });
  }

  #handleTimeout(active: ActiveCall): void {
    if (this.#finisher.isOver) return;
    const isSent = active.refusals.mayHaveRun || active.sender.isSent;
    const reason = "the time for it is over";
    this.#finisher.refuse(active, {
      status: isSent ? 504 : 503,
      reason,
      cutReason: "time-over",
    });
    this.#abortAttempts(active, reason);
  }

  #handleDisconnect(active: ActiveCall): void {
    if (this.#finisher.isOver) return;
    const reason = "the client closed its connection";
    this.#finisher.finish(active, {
      status: 499,
      reason,
      outcome: "client-left",
    });
    this.#abortAttempts(active, "the client has left");
  }

  #abortAttempts({ sender, takeover }: ActiveCall, reason: string): void {
    takeover.stop(reason);
    sender.abort(reason);
  }
}
