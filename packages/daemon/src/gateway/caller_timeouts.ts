import { TimeLimit } from "@teaselrouter/core/gateway/time_limit.ts";
import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { clampTimer } from "../transport/clamp_timer.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

/**
 * Connections are kept open this much longer than clients may leave them idle.
 */
const IDLE_MARGIN_MILLISECONDS = 2_000;
/** Defaults until a configuration is known. */
const DEFAULT_HEADER_TIMEOUT_MILLISECONDS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MILLISECONDS = 15_000;

type Limits = {
  headerTimeoutMilliseconds: number;
  idleTimeoutMilliseconds: number;
};

/**
 * How long clients may take for a head, and leave a connection idle. Changed
 * limits end nothing before the time that its client knows.
 */
export class CallerTimeouts {
  #server: Server;
  #sockets = new Set<Socket>();
  /** Undefined until the first limits: no client knows the defaults. */
  #headerTimeout: TimeLimit | undefined;

  constructor(server: Server) {
    this.#server = server;
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.once("close", () => this.#sockets.delete(socket));
    });
    server.headersTimeout = DEFAULT_HEADER_TIMEOUT_MILLISECONDS;
    server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MILLISECONDS +
      IDLE_MARGIN_MILLISECONDS;
  }

  /** Has to be called now and then, also without a change. */
  apply({ headerTimeoutMilliseconds, idleTimeoutMilliseconds }: Limits): void {
    const now = monotonicMilliseconds();
    this.#headerTimeout ??= new TimeLimit(headerTimeoutMilliseconds);
    this.#headerTimeout.replace(headerTimeoutMilliseconds, now);
    this.#server.headersTimeout = clampTimer(
      this.#headerTimeout.longestAt(now),
    );
    const before = this.#server.keepAliveTimeout;
    const keepAlive = clampTimer(
      idleTimeoutMilliseconds + IDLE_MARGIN_MILLISECONDS,
    );
    this.#server.keepAliveTimeout = keepAlive;
    if (keepAlive <= before) return;
    for (const socket of this.#sockets) extendIdleTime(socket, keepAlive);
  }

  /**
   * Keeps the connection for as long as the answer's head says, also if a
   * shorter time is in force at the answer's end.
   */
  keepAnnouncedTime(response: ServerResponse, socket: Socket): void {
    const announced = this.#server.keepAliveTimeout;
    response.once("finish", () => extendIdleTime(socket, announced));
  }
}

/** Only idle connections have a time-out: the server ends it with new bytes. */
function extendIdleTime(socket: Socket, milliseconds: number): void {
  const current = socket.timeout ?? 0;
  if (current > 0 && current < milliseconds) socket.setTimeout(milliseconds);
}
