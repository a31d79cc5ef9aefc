import { decideReadOn } from "@teaselrouter/core/callers/decide_read_on.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerIntake } from "./caller_intake.ts";
import { RequestQueues } from "./request_queues.ts";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

type Options = {
  intake: Pick<CallerIntake, "turns">;
  /** Requests of a connection that are handled at once; 16 if absent. */
  maxHandled?: number;
};

/**
 * Handles the requests that come behind each other on a connection few by few,
 * see `decideReadOn`. One with too many unanswered is closed.
 */
export function handleInTurn(
  handle: Handler,
  { intake: { turns }, maxHandled }: Options,
): Handler {
  const queues = new RequestQueues();
  const unanswered = new WeakMap<Socket, number>();
  const change = (socket: Socket, by: number) => {
    const count = (unanswered.get(socket) ?? 0) + by;
    unanswered.set(socket, count);
    return decideReadOn(count, maxHandled);
  };
  return (request, response) => {
    const { socket } = request;
    if (socket.destroyed) return;
    const { isHandled, next } = change(socket, 1);
    response.once("close", () => {
      const after = change(socket, -1);
      queues.startNext(socket);
      if (after.next === "read") turns.unblock(socket);
    });
    if (next !== "read") turns.block(socket);
    if (next === "close") return void socket.destroy();
    if (isHandled) handle(request, response);
    else queues.add(socket, () => handle(request, response));
  };
}
