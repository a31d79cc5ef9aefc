import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import type { Result } from "true-myth";
import { listen } from "../transport/listen.ts";
import { GatewayCall } from "./gateway_call.ts";
import type { GatewayWorld } from "./gateway_world.ts";

/** Heads and bodies that stop half-way are looked for so often. */
const CONNECTIONS_CHECK_MILLISECONDS = 500;
/** Kept open longer than any client may leave a connection idle. */
const IDLE_MARGIN_MILLISECONDS = 2_000;
/** Until a configuration says otherwise. */
const HEADER_MILLISECONDS = 3_000;
const IDLE_MILLISECONDS = 15_000;
/**
 * More than any configuration allows, which is looked at once the head was
 * read: the parser's own bound can't be changed while the server listens.
 */
const MAX_HEADER_BYTES = 65_536;
/** A body that comes slower than this is of no use to its sender. */
const WHOLE_REQUEST_MILLISECONDS = 20_000;

/** The port that clients' connections arrive on. */
export class GatewayServer {
  #world: GatewayWorld;
  #server: Server;
  #underWay = 0;

  constructor(world: GatewayWorld) {
    this.#world = world;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CONNECTIONS_CHECK_MILLISECONDS,
      headersTimeout: HEADER_MILLISECONDS,
      requestTimeout: WHOLE_REQUEST_MILLISECONDS,
      keepAliveTimeout: IDLE_MILLISECONDS + IDLE_MARGIN_MILLISECONDS,
      noDelay: true,
    }, (request, response) => {
      this.#underWay += 1;
      response.once("close", () => {
        this.#underWay -= 1;
      });
      response.on("error", () => undefined);
      if (world.isStopping()) response.shouldKeepAlive = false;
      new GatewayCall({ world, request, response }).run().catch((error) => {
        world.log.error("request-failed", { reason: error.stack ?? error });
        response.destroy();
      });
    });
    this.#server.on("clientError", (error, socket) => {
      this.#refuseBadInput(error, socket as Socket);
    });
  }

  get underWay(): number {
    return this.#underWay;
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  /** Takes on the limits of the configuration in force. */
  adoptLimits(): void {
    const limits = this.#world.feed.table?.configuration.callerLimits;
    if (limits === undefined) return;
    this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
    this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds +
      IDLE_MARGIN_MILLISECONDS;
  }

  /** Ends listening; connections with a request under way stay. */
  stopListening(): void {
    this.#server.close();
  }

  closeIdle(): void {
    this.#server.closeIdleConnections();
  }

  closeAll(): void {
    this.#server.closeAllConnections();
  }

  #refuseBadInput(error: Error, socket: Socket): void {
    const { code } = error as { code?: string };
    if (code === "ECONNRESET" || !socket.writable) return void socket.destroy();
    const status = code === "HPE_HEADER_OVERFLOW"
      ? "431 Request Header Fields Too Large"
      : code === "ERR_HTTP_REQUEST_TIMEOUT"
      ? "408 Request Timeout"
      : "400 Bad Request";
    this.#world.log.warn("request-unreadable", { reason: code, status });
    socket.end(
      `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  }
}
