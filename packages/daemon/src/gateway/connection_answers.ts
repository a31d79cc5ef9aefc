import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

type Connection = {
  /** Answers that have not ended, in the order of their requests. */
  unfinished: Set<ServerResponse>;
  /** Called once no answer is due any more. */
  onceNoneDue: (() => void) | undefined;
};

/**
 * Keeps track of the answers that are due on each client connection. A client
 * may send bytes behind a request before its answer has ended.
 */
export class ConnectionAnswers {
  #connections = new WeakMap<Socket, Connection>();

  /**
   * Adds the answer to a request that has arrived. What waits for the answers
   * before it is dropped: the bytes behind them became a request.
   */
  add(request: IncomingMessage, response: ServerResponse): void {
    const connection = this.#find(request.socket);
    connection.onceNoneDue = undefined;
    for (const earlier of connection.unfinished) {
      if (!earlier.headersSent) earlier.shouldKeepAlive = true;
    }
    connection.unfinished.add(response);
    response.once("close", () => {
      connection.unfinished.delete(response);
      this.#notify(connection);
    });
  }

  /**
   * Calls `callback` once no answer is due on the connection, also at once. An
   * answer is due if its request was read to its end, or if it has begun.
   */
  onceNoneDue(socket: Socket, callback: () => void): void {
    const connection = this.#find(socket);
    connection.onceNoneDue ??= callback;
    this.#notify(connection);
  }

  /**
   * Whether an answer under way says that the connection closes behind it: a
   * request that arrives now can't be answered.
   */
  isClosing(socket: Socket): boolean {
    return [...this.#find(socket).unfinished].some((response) =>
      response.headersSent && !response.shouldKeepAlive
    );
  }

  /** Whether no request has arrived behind this answer's. */
  isLatest(response: ServerResponse): boolean {
    const { unfinished } = this.#find(response.req.socket);
    return [...unfinished].at(-1) === response;
  }

  hasDue(socket: Socket): boolean {
    return [...this.#find(socket).unfinished].some(isDue);
  }

  #find(socket: Socket): Connection {
    let connection = this.#connections.get(socket);
    if (connection === undefined) {
      const unfinished = new Set<ServerResponse>();
      connection = { unfinished, onceNoneDue: undefined };
      this.#connections.set(socket, connection);
      socket.once("close", () => closeWaiting(unfinished));
    }
    return connection;
  }

  #notify(connection: Connection): void {
    if ([...connection.unfinished].some(isDue)) return;
    const callback = connection.onceNoneDue;
    connection.onceNoneDue = undefined;
    callback?.();
  }
}

/** Node.js tells only the answer whose turn it is that its connection closed. */
function closeWaiting(unfinished: Set<ServerResponse>): void {
  for (const response of [...unfinished]) {
    if (response.socket !== null) continue;
    response.destroy();
    response.emit("close");
  }
}

function isDue({ req, headersSent }: ServerResponse): boolean {
  return req.complete || headersSent;
}
