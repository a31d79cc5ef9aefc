import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Result } from "true-myth";
import { boundConnections } from "../http/bound_connections.ts";
import type { CallerIntake } from "../http/caller_intake.ts";
import { handleInTurn } from "../http/handle_in_turn.ts";
import { listen } from "../transport/listen.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";
import { stopAccepting } from "../transport/stop_accepting.ts";
import { sendProblem } from "../http/send_problem.ts";
import { waitUntilSent } from "../http/wait_until_sent.ts";

const MAX_HEADER_BYTES = 16_384;
const CONNECTIONS_CHECK_INTERVAL_MILLISECONDS = 500;
/** A host that stands still for seconds during its stop is still sound. */
const MAX_ACCEPT_MILLISECONDS = 10_000;

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
  intake: CallerIntake;
};

type ClientError = Error & { code?: string };

type Connection = {
  /** Requests on it whose answers have not been sent yet. */
  due: number;
  onceNoneDue: (() => void) | undefined;
};

/** Serves callers, operators and the platform's load balancer on one port. */
export class PublicServer {
  #server: Server;
  #options: Options;
  #lastRequestAt = -Infinity;
  #inProgress = 0;
  #connections = new WeakMap<Duplex, Connection>();

  constructor(options: Options) {
    this.#options = options;
    const { intake } = options;
    const handle = (request: IncomingMessage, response: ServerResponse) =>
      void this.#handle(request, response);
    this.#server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: options.idleMilliseconds,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MILLISECONDS,
    }, handleInTurn(handle, { intake, port: "callers" }));
    boundConnections(this.#server, {
      maximum: intake.share.connections,
      onClosed: () => intake.countClosed("callers"),
    });
    this.#server.on(
      "clientError",
      (error, socket) => this.#handleClientError(error, socket),
    );
    this.#server.on("timeout", closeUnlessReceiving);
  }

  /** When the latest request arrived, monotonic milliseconds. */
  get lastRequestAt(): number {
    return this.#lastRequestAt;
  }

  /**
   * Requests of callers and operators that are being handled, or whose
   * responses are still being sent.
   */
  get inProgress(): number {
    return this.#inProgress;
  }

  listen(address: string): Promise<Result<void, string>> {
    return listen(this.#server, address);
  }

  /**
   * Stops listening; calls on open connections are still answered, with
   * "Connection: close".
   */
  stopListening(): ReturnType<typeof stopAccepting> {
    const maxMilliseconds = MAX_ACCEPT_MILLISECONDS;
    return stopAccepting(this.#server, { maxMilliseconds });
  }

  close(): void {
    this.#server.closeAllConnections();
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    this.#lastRequestAt = monotonicMilliseconds();
    this.#inProgress += 1;
    const connection = this.#findConnection(request.socket);
    connection.due += 1;
    // What was wrong behind the requests before this one has become one.
    connection.onceNoneDue = undefined;
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
    await waitUntilSent(response, this.#options.idleMilliseconds);
    this.#inProgress -= 1;
    this.#countAnswered(connection);
  }

  #countAnswered(connection: Connection): void {
    connection.due -= 1;
    if (connection.due === 0) connection.onceNoneDue?.();
  }

  #findConnection(socket: Duplex): Connection {
    let connection = this.#connections.get(socket);
    if (connection === undefined) {
      connection = { due: 0, onceNoneDue: undefined };
      this.#connections.set(socket, connection);
    }
    return connection;
  }

  /** Waits for the answers to the requests before the unreadable bytes. */
  #handleClientError(error: ClientError, socket: Duplex): void {
    const connection = this.#findConnection(socket);
    if (connection.due === 0) return sendClientError(error, socket);
    connection.onceNoneDue = () => sendClientError(error, socket);
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

/**
 * Closes an idle connection whose time is over, unless something has come on it
 * that wasn't read yet: timers fire before sockets are read, and late if this
 * process has stood still.
 */
function closeUnlessReceiving(socket: Socket): void {
  const { bytesRead } = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
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
function sendClientError(error: ClientError, socket: Duplex): void {
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
