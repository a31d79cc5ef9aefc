import { decideReadOn } from "@teaselrouter/core/callers/decide_read_on.ts";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Result } from "true-myth";
import { boundConnections } from "../http/bound_connections.ts";
import { drainRefused } from "../http/drain_refused.ts";
import { RequestQueues } from "../http/request_queues.ts";
import { listen } from "../transport/listen.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { stopAccepting } from "../transport/stop_accepting.ts";
import { CallerTimeouts } from "./caller_timeouts.ts";
import { CallFinisher } from "./call_finisher.ts";
import { ConnectionAnswers } from "./connection_answers.ts";
import { GatewayCall } from "./gateway_call.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Interval of the checks for heads and bodies that stop half-way. */
const CONNECTIONS_CHECK_INTERVAL_MILLISECONDS = 500;
/**
 * Limit of the HTTP parser; a larger `maxHeaderBytes` in the configuration has
 * no effect. The configured limit is checked once the head was read, as the
 * parser's limit can't be changed while the server listens.
 */
const MAX_HEADER_BYTES = 65_536;
/** A request that takes longer to arrive is of no use to its client. */
const REQUEST_TIMEOUT_MILLISECONDS = 20_000;
/** The rest of the grace time is for answers. */
const MAX_ACCEPT_MILLISECONDS = 1_500;
/** Another gateway takes the request at once. */
const STOP_RETRY_MILLISECONDS = 100;
const LATE_REFUSAL = {
  status: 503,
  reason: "this gateway is about to stop",
  retryAfterMilliseconds: STOP_RETRY_MILLISECONDS,
};

/** The client ended its side of the connection within a request. */
const INPUT_ENDED_CODE = "HPE_INVALID_EOF_STATE";

const BAD_REQUEST = "400 Bad Request";
const STATUS_BY_CODE: Record<string, string> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** HTTP server that accepts client requests. */
export class GatewayServer {
  #context: GatewayContext;
  #server: Server;
  #timeouts: CallerTimeouts;
  #answers = new ConnectionAnswers();
  /**
   * Connections whose input was refused: what is completed there afterwards must
   * not run.
   */
  #refused = new WeakSet<Socket>();
  #inFlight = 0;
  #calls = new Set<GatewayCall>();
  #queues = new RequestQueues();
  #isClosing = false;
  #lastRequestAt = -Infinity;

  constructor(context: GatewayContext) {
    this.#context = context;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MILLISECONDS,
      requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
      noDelay: true,
    }, (request, response) => this.#handle(request, response));
    const { intake } = context;
    boundConnections(this.#server, {
      maximum: intake.share.connections,
      onClosed: () => intake.countClosed("callers"),
    });
    this.#timeouts = new CallerTimeouts(this.#server);
    this.#server.on("clientError", (error, socket) => {
      this.#refuseBadInput(error, socket as Socket);
    });
    this.#server.on("connect", (_request, socket) => {
      this.#refuseTunnel(socket as Socket);
    });
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** When the latest request arrived, monotonic milliseconds. */
  get lastRequestAt(): number {
    return this.#lastRequestAt;
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  /** Applies the limits of the current configuration. */
  applyLimits(): void {
    const limits = this.#context.feed.table?.configuration.callerLimits;
    if (limits !== undefined) this.#timeouts.apply(limits);
  }

  /**
   * Requests that arrive from now on are refused, as are those of which the rest
   * arrives: the grace time that is left may be too short for an answer.
   */
  refuseNew(): void {
    this.#isClosing = true;
  }

  stopListening(): ReturnType<typeof stopAccepting> {
    this.refuseNew();
    const maxMilliseconds = MAX_ACCEPT_MILLISECONDS;
    return stopAccepting(this.#server, { maxMilliseconds });
  }

  closeIdle(): void {
    for (const socket of this.#answers.listIdle()) socket.destroy();
  }

  /** Ends all requests under way: what has not begun is refused, the rest cut. */
  endAll(): void {
    this.#queues.startAll();
    for (const call of [...this.#calls]) call.endForStop();
  }

  closeAll(): void {
    this.#server.closeAllConnections();
  }

  #handle(request: IncomingMessage, response: ServerResponse): void {
    const answers = this.#answers;
    const { socket } = request;
    if (socket.destroyed) return;
    const isRefused = this.#refused.has(socket) || answers.isClosing(socket);
    if (isRefused) return drainRefused(request, this.#context.intake);
    this.#inFlight += 1;
    this.#lastRequestAt = monotonicMilliseconds();
    response.once("close", () => {
      this.#inFlight -= 1;
    });
    response.on("error", () => undefined);
    answers.add(request, response);
    this.#timeouts.keepAnnouncedTime(response, socket);
    const context = this.#context;
    if (context.isStopping()) response.shouldKeepAlive = false;
    const isLatest = () => answers.isLatest(response);
    const lateRefusal = () => this.#isClosing ? LATE_REFUSAL : undefined;
    const startedAt = monotonicMilliseconds();
    const options = {
      context,
      request,
      response,
      isLatest,
      lateRefusal,
      startedAt,
    };
    const start = () => this.#start(options);
    if (this.#readOn(socket, response)) start();
    else this.#queues.add(socket, start);
  }

  #start(options: ConstructorParameters<typeof GatewayCall>[0]): void {
    if (this.#isClosing) return this.#refuseLate(options);
    const call = new GatewayCall(options);
    this.#calls.add(call);
    void call.run().finally(() => this.#calls.delete(call));
  }

  /** Returns whether the request that arrived last is to be handled now. */
  #readOn(socket: Socket, response: ServerResponse): boolean {
    const { intake: { turns, requests }, log } = this.#context;
    const count = () => this.#answers.countUnanswered(socket);
    const decide = () => decideReadOn(count());
    const refuse = (refused: Socket | undefined, reason: string) => {
      if (refused === undefined) return;
      log.warn("request-unreadable", { reason, status: "none" });
      refused.destroy();
    };
    refuse(requests.record(socket, count()), "no room for waiting requests");
    response.once("close", () => {
      if (socket.destroyed) return requests.remove(socket);
      requests.record(socket, count());
      this.#queues.startNext(socket);
      if (decide().next === "read") turns.unblock(socket);
    });
    const { isHandled, next } = decide();
    if (next !== "read") turns.block(socket);
    if (next === "close") {
      refuse(socket, "too many requests without an answer");
    }
    return isHandled && !socket.destroyed;
  }

  #refuseLate(
    options: ConstructorParameters<typeof CallFinisher>[0],
  ): void {
    new CallFinisher(options).refuse(undefined, LATE_REFUSAL);
  }

  /**
   * Refuses bytes that are no request, after the answers that are due: within
   * one of them, the client would take the refusal for a part of it.
   */
  #refuseBadInput(error: Error, socket: Socket): void {
    const { code = "" } = error as { code?: string };
    if (code === "ECONNRESET" || !socket.writable) return void socket.destroy();
    const hasLeft = code === INPUT_ENDED_CODE && this.#answers.hasDue(socket);
    if (hasLeft) return void socket.destroy();
    this.#refuseInTurn(socket, code, STATUS_BY_CODE[code] ?? BAD_REQUEST);
  }

  /** Node.js gives up a connection on which it has read such a request. */
  #refuseTunnel(socket: Socket): void {
    socket.on("error", () => undefined);
    // Otherwise the client's end of the connection would go unnoticed.
    socket.resume();
    this.#refuseInTurn(socket, "CONNECT", BAD_REQUEST);
  }

  /** Refuses what was read last, once no other answer is due. */
  #refuseInTurn(socket: Socket, reason: string, status: string): void {
    this.#context.log.warn("request-unreadable", { reason, status });
    this.#answers.onceNoneDue(socket, () => {
      if (!socket.writable) return;
      this.#refused.add(socket);
      socket.end(
        `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
      );
      // The rest of a body must not complete its request.
      if (this.#answers.hasUnread(socket)) socket.destroySoon();
    });
  }
}
