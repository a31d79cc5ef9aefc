import { TimeLimit } from "@teaselrouter/core/gateway/time_limit.ts";
import type { Server } from "node:http";
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
 * limits end no head before the time that its client knows.
 */
export class CallerTimeouts {
  #server: Server;
  #headerTimeout = new TimeLimit(DEFAULT_HEADER_TIMEOUT_MILLISECONDS);

  constructor(server: Server) {
    this.#server = server;
    this.apply({
      headerTimeoutMilliseconds: DEFAULT_HEADER_TIMEOUT_MILLISECONDS,
      idleTimeoutMilliseconds: DEFAULT_IDLE_TIMEOUT_MILLISECONDS,
    });
  }

  /** Has to be called now and then, also without a change. */
  apply({ headerTimeoutMilliseconds, idleTimeoutMilliseconds }: Limits): void {
    const now = monotonicMilliseconds();
    this.#headerTimeout.replace(headerTimeoutMilliseconds, now);
    this.#server.headersTimeout = this.#headerTimeout.longestAt(now);
    this.#server.keepAliveTimeout = idleTimeoutMilliseconds +
      IDLE_MARGIN_MILLISECONDS;
  }
}
