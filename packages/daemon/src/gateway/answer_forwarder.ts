import type { AnswerFraming } from "@teaselrouter/core/answers/answer_framing.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerWatch } from "../http/answer_watch.ts";
import { collectAnswer } from "./collect_answer.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { StreamRelay } from "./stream_relay.ts";

/**
 * An answer of a route that is not a stream is buffered up to this size, so
 * that a broken one can be requested again; a larger one is forwarded as it
 * arrives. Most of these answers have some hundred bytes.
 */
const MAX_BUFFERED_BYTES = 65_536;

type Options = {
  context: GatewayContext;
  call: AdmittedCall;
  response: ServerResponse;
  /** Whether the client must not be sent anything more. */
  isOver: () => boolean;
};

/** Forwards the answers of backend servers to a client as one. */
export class AnswerForwarder {
  #options: Options;
  #relay: StreamRelay | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Whether part of an answer may have reached the client. */
  get hasBegun(): boolean {
    return this.#relay !== undefined;
  }

  /** Whether another backend server can resume where the last one broke off. */
  get canResume(): boolean {
    return this.#relay?.canResume ?? true;
  }

  /** See `StreamRelay.isWaitingForClient`. */
  get isWaitingForClient(): boolean {
    return this.#relay?.isWaitingForClient ?? false;
  }

  get lastEventId(): string | undefined {
    return this.#relay?.lastEventId;
  }

  /**
   * When the first event of a stream was forwarded, monotonic milliseconds;
   * undefined before.
   */
  get firstEventAt(): number | undefined {
    return this.#relay?.firstWrittenAt;
  }

  /**
   * Forwards one answer except for its end. After "whole" the caller ends the
   * response; after "broken" the response is left open: the caller resumes it
   * from another backend server or cuts it off.
   */
  async forward(
    message: IncomingMessage,
    answer: AnswerWatch,
  ): Promise<"whole" | "broken"> {
    const { call } = this.#options;
    if (call.route.kind !== "stream" && this.#relay === undefined) {
      const collected = await this.#collect(message, answer);
      if (collected !== "large") return collected;
    }
    if (this.#relay === undefined) this.#startRelay(message, answer);
    const end = await this.#relay!.relay(message, answer);
    return end === "whole" ? "whole" : "broken";
  }

  /**
   * Buffers an answer that is no stream and forwards it once it is whole. The
   * client never sees one that breaks off, which may then be requested again
   * elsewhere.
   */
  async #collect(
    message: IncomingMessage,
    answer: AnswerWatch,
  ): Promise<"whole" | "broken" | "large"> {
    const { response, isOver } = this.#options;
    const body = await collectAnswer(message, answer, MAX_BUFFERED_BYTES);
    if (body.kind === "broken" || isOver()) return "broken";
    if (body.kind === "large") this.#startRelay(message, answer);
    else this.#writeHead(message, answer);
    response.write(body.bytes);
    return body.kind;
  }

  #startRelay(message: IncomingMessage, answer: AnswerWatch): void {
    const { call, response } = this.#options;
    const { kind, resumable } = call.route;
    this.#relay = new StreamRelay({
      response,
      wholeEvents: kind === "stream" && resumable &&
        message.statusCode === 200 && answer.isEventStream,
    });
    this.#writeHead(message, answer);
    if (kind === "stream") response.flushHeaders();
  }

  #writeHead(message: IncomingMessage, answer: AnswerWatch): void {
    const { context, call, response } = this.#options;
    const headers = context.format.filterAnswerHeaders(message.rawHeaders);
    response.writeHead(
      message.statusCode ?? 502,
      answer.isEventStream ? dropLength(headers, answer.framing) : headers,
    );
    context.metrics.answerHeadMilliseconds.observe(
      { kind: call.route.kind },
      monotonicMilliseconds() - call.startedAt,
    );
  }
}

/**
 * Drops the length of an event stream: a client that has got all of it would
 * take the stream for complete, whatever its end.
 */
function dropLength(headers: string[], framing: AnswerFraming): string[] {
  if (framing !== "length") return headers;
  return headers.filter((_, index) =>
    headers[index - (index % 2)]!.toLowerCase() !== "content-length"
  );
}
