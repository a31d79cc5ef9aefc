import { EventSplitter } from "@teaselrouter/core/gateway/event_splitter.ts";
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

type RelayEnd = "complete" | "broken";

type Options = {
  response: ServerResponse;
  /** Pass on whole events only, so that another can go on behind them. */
  wholeEvents: boolean;
};

/**
 * Passes an answer's body on as it comes. What a broken backend server began
 * can be gone on with by another: the client sees one body.
 */
export class StreamRelay {
  #options: Options;
  #splitter = new EventSplitter();
  /** Id of the last event that was passed on; undefined before the first. */
  lastEventId: string | undefined;
  /** Monotonic milliseconds of the first bytes passed on; undefined before. */
  firstPassedAt: number | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Whether what the client has seen ends where another can go on. */
  get canBeGoneOnWith(): boolean {
    return this.#options.wholeEvents &&
      (this.firstPassedAt === undefined || this.lastEventId !== undefined);
  }

  /** Passes one backend server's body on to its end or its break. */
  relay(message: IncomingMessage): Promise<RelayEnd> {
    this.#splitter = new EventSplitter();
    return new Promise((resolve) => {
      message.on("data", (bytes: Buffer) => this.#pass(message, bytes));
      // Who read the first part has paused it; a listener alone does not start
      // it again, and the rest would never come.
      message.resume();
      message.once("end", () => {
        const whole = message.complete;
        if (whole) this.#write(message, this.#splitter.rest);
        resolve(whole ? "complete" : "broken");
      });
      message.once("close", () => resolve("broken"));
      message.once("error", () => resolve("broken"));
    });
  }

  #pass(message: IncomingMessage, bytes: Buffer): void {
    if (!this.#options.wholeEvents) return this.#write(message, bytes);
    const whole = this.#splitter.take(bytes);
    this.lastEventId = whole.lastId ?? this.lastEventId;
    this.#write(message, whole.bytes);
  }

  #write(message: IncomingMessage, bytes: Buffer): void {
    const { response } = this.#options;
    if (bytes.length === 0 || response.destroyed) return;
    this.firstPassedAt ??= monotonicMilliseconds();
    if (response.write(bytes)) return;
    message.pause();
    response.once("drain", () => message.resume());
  }
}
