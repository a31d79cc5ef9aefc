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

const MOST_HEADER_BYTES = 16_384;
const CHECK_MILLISECONDS = 500;
const QUIET_MILLISECONDS = 500;

type Handle = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

type Options = {
  idleMilliseconds: number;
  isReady: () => boolean;
  handleCall: Handle;
  handleOperator: Handle;
  onFault: (error: unknown) => void;
};

/** The port for callers, operators and the platform's balancer. */
export class PublicServer {
  #server: Server;
  #options: Options;
  #askedAt = 0;

  constructor(options: Options) {
    this.#options = options;
    this.#server = createServer({
      maxHeaderSize: MOST_HEADER_BYTES,
      headersTimeout: options.idleMilliseconds,
      requestTimeout: 0,
      connectionsCheckingInterval: CHECK_MILLISECONDS,
    }, (request, response) => this.#handle(request, response));
    this.#server.on("clientError", answerClientError);
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  /**
   * Takes no new connections. The http server's own `close` would also close
   * idle ones, under calls that are just on their way: callers would see a
   * broken connection and not know whether the call had run. They are
   * answered instead, and told to close.
   */
  stopListening(): void {
    NetServer.prototype.close.call(this.#server);
  }

  /** Whether no request has come for a while. */
  isQuiet(now: number): boolean {
    return now - this.#askedAt > QUIET_MILLISECONDS;
  }

  close(): void {
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#askedAt = Date.now();
    response.on("error", () => undefined);
    try {
      await this.#dispatch(request, response);
    } catch (error) {
      this.#options.onFault(error);
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
    if (url === "/live") return sendState(response, true);
    if (url === "/ready") return sendState(response, this.#options.isReady());
    // A planned stop: clients that keep connections must open new ones.
    if (!this.#options.isReady()) response.setHeader("Connection", "close");
    if (url.startsWith("/v1/operator/")) {
      return await this.#options.handleOperator(request, response);
    }
    return await this.#options.handleCall(request, response);
  }
}

function sendState(response: ServerResponse, good: boolean): void {
  response.writeHead(good ? 200 : 503, { "Content-Type": "text/plain" });
  response.end(good ? "ok\n" : "no\n");
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

/** What isn't HTTP gets its connection closed, the rest a reason. */
function answerClientError(
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
