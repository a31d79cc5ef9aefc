import type { AnswerEnd } from "@teaselrouter/core/answers/answer_end.ts";
import type { AnswerFraming } from "@teaselrouter/core/answers/answer_framing.ts";
import { EventPosition } from "@teaselrouter/core/answers/event_position.ts";
import { findAnswerFraming } from "@teaselrouter/core/answers/find_answer_framing.ts";
import { isEventStream } from "@teaselrouter/core/answers/is_event_stream.ts";
import { judgeAnswerEnd } from "@teaselrouter/core/answers/judge_answer_end.ts";
import type { Buffer } from "node:buffer";
import type { ClientRequest, IncomingMessage } from "node:http";

const SUCCESS_STATUS = 200;

type Options = {
  /** Whether a success that names no type is taken for an event stream. */
  expectsEvents?: boolean;
};

/** Follows one answer, and says once it has ended whether it is whole. */
export class AnswerWatch {
  #request: ClientRequest | undefined;
  #expectsEvents: boolean;
  /** The parser takes a reset behind an answer without a length for its end. */
  #hasConnectionFailed = false;
  #isGivenUp = false;
  #message: IncomingMessage | undefined;
  #framing: AnswerFraming = "no-body";
  #position: EventPosition | undefined;

  constructor(options: Options = {}) {
    this.#expectsEvents = options.expectsEvents ?? false;
  }

  /** To be called before the request's connection is assigned. */
  watch(request: ClientRequest): void {
    this.#request = request;
    request.on("socket", (socket) => this.#detectReset(socket));
    request.on("error", () => {
      this.#hasConnectionFailed = true;
    });
  }

  /** Begins with the answer's head, and leaves the answer paused. */
  follow(message: IncomingMessage): void {
    const { headers, statusCode: status = 0 } = message;
    this.#message = message;
    this.#framing = findAnswerFraming({
      method: this.#request?.method ?? "GET",
      status,
      transferEncoding: headers["transfer-encoding"],
      contentLength: headers["content-length"],
    });
    // A listener that is added first would let an empty answer end unheard.
    message.pause();
    const hasEvents = isEventStream({
      contentType: headers["content-type"],
      contentEncoding: headers["content-encoding"],
      isExpected: this.#expectsEvents && status === SUCCESS_STATUS,
    });
    if (!hasEvents) return;
    const position = new EventPosition();
    this.#position = position;
    message.on("data", (bytes: Buffer) => void position.advance(bytes));
  }

  /**
   * To be called before the request is destroyed: Node.js then discards what was
   * received and not read, and emits "end".
   */
  giveUp(): void {
    this.#isGivenUp = true;
  }

  get isGivenUp(): boolean {
    return this.#isGivenUp;
  }

  get framing(): AnswerFraming {
    return this.#framing;
  }

  get isEventStream(): boolean {
    return this.#position !== undefined;
  }

  /** Meaningful once the answer has ended or its connection is closed. */
  get end(): AnswerEnd {
    const { complete = false, readableEnded = false } = this.#message ?? {};
    return judgeAnswerEnd({
      framing: this.#framing,
      isFramingComplete: complete && readableEnded && !this.#isGivenUp,
      hasConnectionFailed: this.#hasConnectionFailed,
      isInsideEvent: this.#position?.isInsideEvent ?? false,
    });
  }

  /**
   * Bytes and a reset that arrive together are read as bytes and a regular end,
   * so that a truncated answer without a length looks whole. Only the remote
   * address still shows the reset, which clears it at once.
   */
  #detectReset(socket: NonNullable<ClientRequest["socket"]>): void {
    const checkForReset = () => {
      if (socket.remoteAddress === undefined) this.#hasConnectionFailed = true;
    };
    socket.prependListener("end", checkForReset);
    this.#request?.once("close", () => socket.off("end", checkForReset));
  }
}
