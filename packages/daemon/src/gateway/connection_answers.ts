import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeWaiting } from "../http/close_waiting.ts";

type Connection = {
  /** Answers that have not ended, in the order of their requests. */
  unfinished: Set<ServerResponse>;
  /** Called once no answer is due any more. */
  onceNoneDue: (() => void) | undefined;
  /**
   * Bytes read when the last answer had ended; undefined before, and if its
   * request was not read to its end by then.
   */
  bytesReadAtEnd: number | undefined;
};

/**
 * Keeps track of the answers that are due on each client connection. A client
 * may send bytes behind a request before its answer has ended.
 */
export class ConnectionAnswers {
  #connections = new Map<Socket, Connection>();

  /**
   * Adds the answer to a request that has arrived. What waits for the answers
   * before it is dropped: the bytes behind them became a request.
   */
  add(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const connection = this.#connections.get(socket) ?? this.#track(socket);
    connection.onceNoneDue = undefined;
    for (const earlier of connection.unfinished) {
      if (!earlier.headersSent) earlier.shouldKeepAlive = true;
    }
    connection.unfinished.add(response);
    response.once("close", () => {
      connection.unfinished.delete(response);
      connection.bytesReadAtEnd = request.complete
        ? socket.bytesRead
        : undefined;
      this.#notify(connection);
    });
  }

  /**
   * Calls `callback` once no answer is due on the connection, also at once. An
   * answer is due if its request was read to its end, or if it has begun.
   */
  onceNoneDue(socket: Socket, callback: () => void): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return callback();
    connection.onceNoneDue ??= callback;
    this.#notify(connection);
  }

  /**
   * Whether an answer under way says that the connection closes behind it: a
   * request that arrives now can't be answered.
   */
  isClosing(socket: Socket): boolean {
    for (const response of this.#connections.get(socket)?.unfinished ?? []) {
      if (response.headersSent && !response.shouldKeepAlive) return true;
    }
    return false;
  }

  /** Whether no request has arrived behind this answer's. */
  isLatest(response: ServerResponse): boolean {
    return this.#unfinishedOn(response.req.socket).at(-1) === response;
  }

  /**
   * Connections whose answers have all left this process, and on which no
   * further byte has arrived. Node.js takes a connection for idle already when
   * the last answer is still waiting to be sent.
   */
  listIdle(): Socket[] {
    return [...this.#connections].filter(([socket, connection]) =>
      connection.unfinished.size === 0 &&
      connection.bytesReadAtEnd === socket.bytesRead
    ).map(([socket]) => socket);
  }

  /** Requests on the connection whose answers have not ended. */
  countUnanswered(socket: Socket): number {
    return this.#connections.get(socket)?.unfinished.size ?? 0;
  }

  /** Whether a request on the connection has not been read to its end. */
  hasUnread(socket: Socket): boolean {
    return this.#unfinishedOn(socket).some(({ req }) => !req.complete);
  }

  hasDue(socket: Socket): boolean {
    return this.#unfinishedOn(socket).some(isDue);
  }

  #unfinishedOn(socket: Socket): ServerResponse[] {
    return [...this.#connections.get(socket)?.unfinished ?? []];
  }

  #track(socket: Socket): Connection {
    const unfinished = new Set<ServerResponse>();
    const connection = {
      unfinished,
      onceNoneDue: undefined,
      bytesReadAtEnd: undefined,
    };
    this.#connections.set(socket, connection);
    socket.once("close", () => {
      this.#connections.delete(socket);
      closeWaiting(unfinished);
    });
    return connection;
  }

  #notify(connection: Connection): void {
    if ([...connection.unfinished].some(isDue)) return;
    const callback = connection.onceNoneDue;
    connection.onceNoneDue = undefined;
    callback?.();
  }
}

function isDue({ req, headersSent }: ServerResponse): boolean {
  return req.complete || headersSent;
}
