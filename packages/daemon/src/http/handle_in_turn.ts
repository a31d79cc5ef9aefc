import { decideReadOn } from "@teaselrouter/core/callers/decide_read_on.ts";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerIntake } from "./caller_intake.ts";
import { closeWaiting } from "./close_waiting.ts";
import { RequestQueues } from "./request_queues.ts";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

type Options = {
  intake: Pick<CallerIntake, "turns" | "requests" | "countClosed">;
  /** Names the port in the log. */
  port: string;
  /** Requests of a connection that are handled at once; 16 if absent. */
  maxHandled?: number;
};

/**
 * Handles the requests that come behind each other on a connection few by few,
 * see `decideReadOn`. One with too many unanswered is closed.
 */
export function handleInTurn(
  handle: Handler,
  { intake, port, maxHandled }: Options,
): Handler {
  const { turns, requests } = intake;
  const giveUp = (socket: Socket | undefined) => {
    if (socket === undefined) return;
    intake.countClosed(port);
    socket.destroy();
  };
  const queues = new RequestQueues();
  const connections = new WeakMap<Socket, Set<ServerResponse>>();
  const findUnanswered = (socket: Socket) => {
    const known = connections.get(socket);
    if (known !== undefined) return known;
    const unanswered = new Set<ServerResponse>();
    connections.set(socket, unanswered);
    socket.once("close", () => {
      closeWaiting(unanswered);
      requests.remove(socket);
    });
    return unanswered;
  };
  return (request, response) => {
    const { socket } = request;
    if (socket.destroyed) return;
    const unanswered = findUnanswered(socket);
    const decide = () => decideReadOn(unanswered.size, maxHandled);
    unanswered.add(response);
    giveUp(requests.record(socket, unanswered.size));
    if (socket.destroyed) return;
    response.once("close", () => {
      unanswered.delete(response);
      if (socket.destroyed) return;
      requests.record(socket, unanswered.size);
      queues.startNext(socket);
      if (decide().next === "read") turns.unblock(socket);
    });
    const { isHandled, next } = decide();
    if (next !== "read") turns.block(socket);
    if (next === "close") return giveUp(socket);
    if (isHandled) handle(request, response);
    else queues.add(socket, () => handle(request, response));
  };
}
