import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer } from "node:net";
import type { Duplex } from "node:stream";
import type { Result } from "true-myth";
import { listen } from "../transport/listen.ts";
import { sendProblem } from "../http/send_problem.ts";

const MAX_HEADER_BYTES = 16_384;
const CONNECTIONS_CHECK_INTERVAL_MILLISECONDS = 500;
const RECENT_REQUEST_MILLISECONDS = 500;
/** A caller that goes on opening connections does not delay the stop longer. */
const MAX_ACCEPT_MILLISECONDS = 1_000;

type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

type Options = {
  idleMilliseconds: number;
  isReady: () => boolean;
  handleCall: RequestHandler;
  handleOperator: RequestHandler;
  onError: (error: unknown) => void;
};

/** Serves callers, operators and the platform's load balancer on one port. */
export class PublicServer {
  #server: Server;
  #options: Options;
  #lastRequestAt = 0;
  #acceptedCount = 0;

  constructor(options: Options) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: options.idleMilliseconds,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MILLISECONDS,
    }, (request, response) => this.#handle(request, response));
    this.#server.on("clientError", sendClientError);
    this.#server.on("connection", () => this.#acceptedCount += 1);
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  /**
   * Stops accepting new connections. The HTTP server's own `close` would also
   * close idle connections on which a call is just arriving. Callers would see
   * a broken connection and not know whether the call had run. Such calls are
   * answered instead, with "Connection: close".
   *
   * Closing the port resets the connections that are established but not yet
   * accepted, so it is closed right after the event loop has accepted all.
   */
  async stopListening(): Promise<void> {
    const until = Date.now() + MAX_ACCEPT_MILLISECONDS;
    let accepted: number;
    do {
      accepted = this.#acceptedCount;
      // Each turn accepts one connection, but the first of the two may already
      // be past that.
      await nextTurn();
      await nextTurn();
    } while (this.#acceptedCount > accepted && Date.now() < until);
    NetServer.prototype.close.call(this.#server);
  }

  /**
   * Whether no request has arrived for RECENT_REQUEST_MILLISECONDS.
   *
   * @param now Unix milliseconds.
   */
  hasNoRecentRequest(now: number): boolean {
    return now - this.#lastRequestAt > RECENT_REQUEST_MILLISECONDS;
  }

  close(): void {
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#lastRequestAt = Date.now();
    response.on("error", () => undefined);
    try {
      await this.#dispatch(request, response);
    } catch (error) {
      this.#options.onError(error);
      sendProblem(response, {
        status: 500,
        type: "internal-error",
        detail: "the entry host failed",
        outcome: "unknown",
      });
    }
  }

  async #dispatch(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = request.url ?? "";
    if (url === "/live") return sendHealth(response, true);
    if (url === "/ready") return sendHealth(response, this.#options.isReady());
    // While this host is not ready, as during a planned shutdown, clients that
    // keep connections alive must open new ones.
    if (!this.#options.isReady()) response.setHeader("Connection", "close");
    if (url.startsWith("/v1/operator/")) {
      return await this.#options.handleOperator(request, response);
    }
    return await this.#options.handleCall(request, response);
  }
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function sendHealth(response: ServerResponse, isOk: boolean): void {
  response.writeHead(isOk ? 200 : 503, { "Content-Type": "text/plain" });
  response.end(isOk ? "ok\n" : "no\n");
}

const CLIENT_ERRORS: Record<string, { status: string; type: string }> = {
  HPE_HEADER_OVERFLOW: {
    status: "431 Request Header Fields Too Large",
    type: "headers-too-large",
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    status: "408 Request Timeout",
    type: "request-incomplete",
  },
};

/**
 * Answers headers that are too large or too slow with a problem document. Any
 * other malformed request gets its connection closed.
 */
function sendClientError(
  error: Error & { code?: string },
  socket: Duplex,
): void {
  const known = CLIENT_ERRORS[error.code ?? ""];
  if (known === undefined || !socket.writable) {
    socket.destroy();
    return;
  }
  const body = JSON.stringify({
    type: known.type,
    title: known.status.slice(4),
    detail: known.status.slice(4),
    field: "headers",
  });
  socket.end(
    `HTTP/1.1 ${known.status}\r\nConnection: close\r\n` +
      "Content-Type: application/problem+json\r\n" +
      "Teaselrouter-Outcome: not-run\r\n" +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
}
