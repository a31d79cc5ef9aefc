import { retryAfter } from "@teaselrouter/core/gateway/retry_after.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { DispatchDecision } from "./dispatch_decision.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import type { ModelledCall } from "./modelled_call.ts";
import type { ModelledEngine } from "./modelled_engine.ts";

const TIMELY_RANK = 1;
const LATE_RANK = 6;

type Options = {
  settings: FleetSettings;
  engines: readonly ModelledEngine[];
  random: () => number;
};

/**
 * A dispatcher that knows the requests of every engine and their remaining
 * tokens at all times. Its results serve as an upper bound for what routing and
 * admission alone can achieve.
 */
export class OracleDispatcher implements Dispatcher {
  #options: Options;

  constructor(options: Options) {
    this.#options = options;
  }

  decide(call: ModelledCall, now: number): DispatchDecision {
    const { engines, random } = this.#options;
    let bestEngine = -1;
    let shortestWait = Infinity;
    engines.forEach((engine, index) => {
      if (engine.isDown) return;
      const wait = this.#estimateFirstEventMilliseconds(engine, call);
      if (wait < shortestWait) [bestEngine, shortestWait] = [index, wait];
    });
    const isTimely = now + shortestWait <= call.startedAt + call.kind.target_ms;
    const { slots } = this.#options.settings.engine;
    const canServe = bestEngine >= 0 &&
      (isTimely || engines[bestEngine]!.running < slots);
    const endAt = now + shortestWait + this.#answerMilliseconds(call);
    if (canServe && endAt <= call.abandonedAt) {
      return {
        kind: "send",
        engine: bestEngine,
        rank: isTimely ? TIMELY_RANK : LATE_RANK,
      };
    }
    const retryAfterMilliseconds = retryAfter({
      cause: bestEngine < 0 ? "outage" : "overload",
      patienceMilliseconds: call.abandonedAt - now,
      random: random(),
    });
    return { kind: "refuse", retryAfterMilliseconds };
  }

  recordEvent(): void {}
  recordFirstEvent(): void {}
  recordEnd(): void {}
  recordRejection(): void {}
  recordLoadReport(): void {}

  #stepMilliseconds(): number {
    const { step_ms, step_per_request_ms, slots } =
      this.#options.settings.engine;
    return step_ms + step_per_request_ms * slots;
  }

  #answerMilliseconds(call: ModelledCall): number {
    return call.answerTokens * this.#stepMilliseconds();
  }

  /**
   * Time until a slot is free after all waiting requests have got theirs, all
   * prompts are prefilled and one pass has run, milliseconds.
   */
  #estimateFirstEventMilliseconds(
    engine: ModelledEngine,
    call: ModelledCall,
  ): number {
    const { slots, read_tokens_per_ms, steps_per_pass } =
      this.#options.settings.engine;
    const stepMilliseconds = this.#stepMilliseconds();
    const slotFreeMilliseconds = engine.activeRequests
      .map(({ pendingPromptTokens, pendingAnswerTokens }) =>
        pendingPromptTokens / read_tokens_per_ms +
        pendingAnswerTokens * stepMilliseconds
      )
      .sort((left, right) => left - right);
    while (slotFreeMilliseconds.length < slots) slotFreeMilliseconds.unshift(0);
    for (const { pendingAnswerTokens } of engine.waitingRequests) {
      const freeMilliseconds = slotFreeMilliseconds.shift()!;
      slotFreeMilliseconds.push(
        freeMilliseconds + pendingAnswerTokens * stepMilliseconds,
      );
      slotFreeMilliseconds.sort((left, right) => left - right);
    }
    const pendingTokens = [...engine.activeRequests, ...engine.waitingRequests]
      .reduce(
        (sum, request) => sum + request.pendingPromptTokens,
        call.promptTokens,
      );
    return slotFreeMilliseconds[0]! + pendingTokens / read_tokens_per_ms +
      steps_per_pass * stepMilliseconds;
  }
}
