import { queueRetryAfterMilliseconds } from "@teaselrouter/core/routing/queue_retry_after_milliseconds.ts";
import type { EventQueue } from "./event_queue.ts";

/** Weight of the latest call in the moving average of service times. */
const LATEST_DURATION_WEIGHT = 0.05;

type Options = {
  name: string;
  slots: number;
  meanMilliseconds: number;
  /** Whether every call fails at once. */
  failsFast: boolean;
  /** Whether calls that can't be answered in time are refused on arrival. */
  refusesEarly: boolean;
};

type Call = {
  deadlineAt: number;
  /** Service time, as a multiple of the mean. */
  serviceTimeFactor: number;
  onEnd: (outcome: "answered" | "failed" | "refused") => void;
};

/** Simulates a backend server and its agent's queue. */
export class ModelledBackend {
  readonly options: Options;
  #events: EventQueue;
  #running = 0;
  #queue: Call[] = [];
  #serviceMilliseconds: number;

  constructor(events: EventQueue, options: Options) {
    this.#events = events;
    this.options = options;
    this.#serviceMilliseconds = options.meanMilliseconds;
  }

  get load() {
    return {
      running: this.#running,
      queued: this.#queue.length,
      serviceMilliseconds: this.#serviceMilliseconds,
    };
  }

  accept(call: Call): void {
    if (this.options.failsFast) {
      this.#events.after(1, () => call.onEnd("failed"));
      return;
    }
    const { slots, refusesEarly } = this.options;
    const deadlineLeft = call.deadlineAt - this.#events.now;
    const retryAfterMilliseconds = queueRetryAfterMilliseconds(
      { ...this.load, slots },
      deadlineLeft,
    );
    if (refusesEarly && retryAfterMilliseconds > 0) {
      call.onEnd("refused");
      return;
    }
    if (this.#running < slots) this.#start(call);
    else this.#queue.push(call);
  }

  #start(call: Call): void {
    this.#running += 1;
    const durationMilliseconds = call.serviceTimeFactor *
      this.options.meanMilliseconds;
    this.#events.after(durationMilliseconds, () => {
      this.#running -= 1;
      this.#serviceMilliseconds += LATEST_DURATION_WEIGHT *
        (durationMilliseconds - this.#serviceMilliseconds);
      call.onEnd("answered");
      const next = this.#queue.shift();
      if (next !== undefined) this.#start(next);
    });
  }
}
