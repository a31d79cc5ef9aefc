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

  hasDue(socket: Socket): boolean {
    return [...this.#find(socket).unfinished].some(isDue);
  }

  #find(socket: Socket): Connection {
    let connection = this.#connections.get(socket);
    if (connection === undefined) {
      connection = { unfinished: new Set(), onceNoneDue: undefined };
      this.#connections.set(socket, connection);
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

function isDue({ req, headersSent }: ServerResponse): boolean {
  return req.complete || headersSent;
}
