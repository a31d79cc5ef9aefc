import { EventSplitter } from "@teaselrouter/core/gateway/event_splitter.ts";
import type { AnswerEnd } from "@teaselrouter/core/answers/answer_end.ts";
import type { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnswerWatch } from "../http/answer_watch.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/** An event that is larger is taken for bytes without end. */
const MAX_EVENT_BYTES = 1_048_576;

/** An event's id is resumed after only if a header can hold it. */
const SENDABLE_ID = /^[\t\x20-\x7e\x80-\xff]*$/;

type Options = {
  response: ServerResponse;
  /**
   * Forward whole events only, so that another backend server can resume after
   * them.
   */
  wholeEvents: boolean;
};

/**
 * Forwards an answer's body as it arrives. Another backend server can resume a
 * body that broke off: the client sees one body.
 */
export class StreamRelay {
  #options: Options;
  #splitter = new EventSplitter();
  /** Id of the last event that was forwarded; undefined before the first. */
  lastEventId: string | undefined;
  /**
   * When the first bytes were forwarded, monotonic milliseconds; undefined
   * before.
   */
  firstWrittenAt: number | undefined;

  /** Whether the client reads more slowly than the backend server sends. */
  isWaitingForClient = false;

  constructor(options: Options) {
    this.#options = options;
  }

  /**
   * Whether the client's part of the body ends where another backend server can
   * resume.
   */
  get canResume(): boolean {
    const { lastEventId } = this;
    return this.#options.wholeEvents &&
      (lastEventId === undefined
        ? this.firstWrittenAt === undefined
        : SENDABLE_ID.test(lastEventId));
  }

  /**
   * Forwards one backend server's body until it ends or breaks off. The part of
   * an event is forwarded only where the body is whole, or never resumed.
   * Rejects if forwarding throws.
   */
  relay(message: IncomingMessage, answer: AnswerWatch): Promise<AnswerEnd> {
    this.#splitter = new EventSplitter();
    return new Promise((resolve, reject) => {
      message.on("data", (bytes: Buffer) => {
        try {
          this.#forwardBytes(message, bytes);
          if (this.#splitter.incompleteLength <= MAX_EVENT_BYTES) return;
          answer.giveUp();
          message.destroy();
        } catch (error) {
          reject(error);
        }
      });
      // Buffering of the first part has paused the message. A new listener
      // alone doesn't resume it, and the rest would never arrive.
      message.resume();
      message.once("end", () => {
        const { end } = answer;
        if (end === "whole") {
          this.#write(message, this.#splitter.incompleteBytes);
        }
        resolve(end);
      });
      message.once("close", () => resolve(answer.end));
      message.once("error", () => resolve(answer.end));
    });
  }

  #forwardBytes(message: IncomingMessage, bytes: Buffer): void {
    if (!this.#options.wholeEvents) return this.#write(message, bytes);
    const whole = this.#splitter.push(bytes);
    this.lastEventId = whole.lastId ?? this.lastEventId;
    this.#write(message, whole.bytes);
  }

  #write(message: IncomingMessage, bytes: Buffer): void {
    const { response } = this.#options;
    if (bytes.length === 0 || response.destroyed) return;
    this.firstWrittenAt ??= monotonicMilliseconds();
    if (response.write(bytes)) return;
    message.pause();
    this.isWaitingForClient = true;
    response.once("drain", () => {
      this.isWaitingForClient = false;
      message.resume();
    });
  }
}
