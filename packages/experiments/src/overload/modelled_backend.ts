import { queueRetryAfterMilliseconds } from "@teaselrouter/core/routing/queue_retry_after_milliseconds.ts";
import type { EventQueue } from "./event_queue.ts";

const LEARNING_SHARE = 0.05;

type Options = {
  name: string;
  slots: number;
  meanMilliseconds: number;
  /** Answers every call with an error, at once. */
  failsFast: boolean;
  /** Whether calls that can't be in time are refused. */
  refusesEarly: boolean;
};

type Call = {
  deadlineAt: number;
  work: number;
  end: (outcome: "answered" | "failed" | "refused") => void;
};

/** A backend server with its agent's queue, in modelled time. */
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

  take(call: Call): void {
    if (this.options.failsFast) {
      this.#events.after(1, () => call.end("failed"));
      return;
    }
    const { slots, refusesEarly } = this.options;
    const left = call.deadlineAt - this.#events.now;
    const wait = queueRetryAfterMilliseconds({ ...this.load, slots }, left);
    if (refusesEarly && wait > 0) {
      call.end("refused");
      return;
    }
    if (this.#running < slots) this.#start(call);
    else this.#queue.push(call);
  }

  #start(call: Call): void {
    this.#running += 1;
    const milliseconds = call.work * this.options.meanMilliseconds;
    this.#events.after(milliseconds, () => {
      this.#running -= 1;
      this.#serviceMilliseconds += LEARNING_SHARE *
        (milliseconds - this.#serviceMilliseconds);
      call.end("answered");
      const next = this.#queue.shift();
      if (next !== undefined) this.#start(next);
    });
  }
}
