import type { IncomingMessage, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import type { AdmittedCall } from "./admitted_call.ts";
import { collectAnswer } from "./collect_answer.ts";
import type { GatewayWorld } from "./gateway_world.ts";
import { StreamRelay } from "./stream_relay.ts";

/** Answers of plain services are some hundred bytes; larger ones stream. */
const MOST_COLLECTED_BYTES = 65_536;

type Options = {
  world: GatewayWorld;
  call: AdmittedCall;
  response: ServerResponse;
  /** Whether the client is not to get anything more. */
  isOver: () => boolean;
};

/** Passes backend servers' answers on to a client as one. */
export class AnswerPasser {
  #options: Options;
  #relay: StreamRelay | undefined;

  constructor(options: Options) {
    this.#options = options;
  }

  /** Whether something of an answer may have reached the client. */
  get hasBegun(): boolean {
    return this.#relay !== undefined;
  }

  /** Whether another backend server can go on where the last one broke off. */
  get canBeGoneOnWith(): boolean {
    return this.#relay?.canBeGoneOnWith ?? true;
  }

  get lastEventId(): string | undefined {
    return this.#relay?.lastEventId;
  }

  /** When the first event of a stream was passed on; undefined before. */
  get firstEventAt(): number | undefined {
    return this.#relay?.firstPassedAt;
  }

  /**
   * Passes one answer on, but for its end: "whole" leaves it to the caller to
   * finish, "broken" leaves what was passed as it is.
   *
   * @param hasFailed asked at the end: whether the connection failed.
   */
  async pass(
    message: IncomingMessage,
    hasFailed: () => boolean,
  ): Promise<"whole" | "broken"> {
    const { call } = this.#options;
    if (call.route.kind !== "stream" && this.#relay === undefined) {
      const collected = await this.#collect(message, hasFailed);
      if (collected !== "large") return collected;
    }
    if (this.#relay === undefined) this.#begin(message);
    const end = await this.#relay!.relay(message);
    return end === "complete" && !hasFailed() ? "whole" : "broken";
  }

  /**
   * An answer that is no stream is passed on once it is whole: one that
   * breaks off is then never seen, and may be asked for again elsewhere.
   */
  async #collect(
    message: IncomingMessage,
    hasFailed: () => boolean,
  ): Promise<"whole" | "broken" | "large"> {
    const { response, isOver } = this.#options;
    const body = await collectAnswer(message, MOST_COLLECTED_BYTES);
    if (body.kind === "broken" || isOver()) return "broken";
    if (body.kind === "whole" && hasFailed()) return "broken";
    if (body.kind === "large") this.#begin(message);
    else this.#writeHead(message);
    response.write(body.bytes);
    return body.kind;
  }

  #begin(message: IncomingMessage): void {
    const { call, response } = this.#options;
    const { kind, resumable } = call.route;
    this.#relay = new StreamRelay({
      response,
      wholeEvents: kind === "stream" && resumable &&
        message.statusCode === 200,
    });
    this.#writeHead(message);
    if (kind === "stream") response.flushHeaders();
  }

  #writeHead(message: IncomingMessage): void {
    const { world, call, response } = this.#options;
    const headers = world.format.returnHeaders(message.rawHeaders);
    response.writeHead(message.statusCode ?? 502, headers);
    world.counted.headMilliseconds.observe(
      { kind: call.route.kind },
      monotonicMilliseconds() - call.startedAt,
    );
  }
}
