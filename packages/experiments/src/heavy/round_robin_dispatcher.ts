import type { Dispatcher } from "./dispatcher.ts";
import type { DispatchDecision } from "./dispatch_decision.ts";

/**
 * Baseline: sends to each engine in turn and refuses nothing. All calls have
 * the same rank, so that engines serve them in order of arrival.
 */
export class RoundRobinDispatcher implements Dispatcher {
  #engineCount: number;
  #next: number;

  constructor(engineCount: number, random: () => number) {
    this.#engineCount = engineCount;
    this.#next = Math.floor(random() * engineCount);
  }

  decide(): DispatchDecision {
    this.#next = (this.#next + 1) % this.#engineCount;
    return { kind: "send", engine: this.#next, rank: 1 };
  }

  recordEvent(): void {}
  recordFirstEvent(): void {}
  recordEnd(): void {}
  recordRejection(): void {}
  recordLoadReport(): void {}
}
