import { ConnectionRoom } from "@teaselrouter/core/callers/connection_room.ts";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { admitFew } from "./admit_few.ts";
import { monotonicMilliseconds } from "../transport/monotonic_milliseconds.ts";

type Options = {
  maximum: number;
  /** Called for each connection that is closed, or refused, for want of room. */
  onClosed: () => void;
};

/**
 * Bounds the connections that an HTTP server keeps open, see `ConnectionRoom`,
 * and how many it begins to read at once. A request has arrived once it was read
 * whole.
 */
export function boundConnections(
  server: Server,
  { maximum, onClosed }: Options,
): void {
  const room = new ConnectionRoom<Socket>(maximum);
  /** Requests on a connection that have arrived and aren't answered. */
  const due = new WeakMap<Socket, number>();
  const change = (socket: Socket, by: number) => {
    const count = (due.get(socket) ?? 0) + by;
    due.set(socket, count);
    if (count > 0) room.markBusy(socket, monotonicMilliseconds());
    else room.markIdle(socket, monotonicMilliseconds());
  };
  server.on("connection", (socket: Socket) => {
    const close = () => {
      onClosed();
      socket.destroy();
    };
    if (!room.admit(socket, monotonicMilliseconds(), close)) return close();
    socket.once("close", () => room.remove(socket));
  });
  admitFew(server);
  server.on("request", (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    if (socket.destroyed) return;
    let hasArrived = false;
    const arrive = () => {
      if (hasArrived || response.closed) return;
      hasArrived = true;
      change(socket, 1);
    };
    // One without a body is complete behind this event, and nobody reads it.
    queueMicrotask(() => {
      if (request.complete) arrive();
      else request.once("end", arrive);
    });
    response.once("close", () => {
      if (hasArrived) change(socket, -1);
    });
  });
}
