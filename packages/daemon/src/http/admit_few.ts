import { ArrivalTurns } from "@teaselrouter/core/callers/arrival_turns.ts";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

/** Reads new connections of a server few by few, see `ArrivalTurns`. */
export function admitFew(server: Server): void {
  const arrivals = new ArrivalTurns<Socket>();
  let isScheduled = false;
  const schedule = () => {
    if (isScheduled || !arrivals.needsTurn) return;
    isScheduled = true;
    setImmediate(beginTurn);
  };
  const beginTurn = () => {
    isScheduled = false;
    for (const socket of arrivals.beginTurn()) socket.resume();
    schedule();
  };
  server.on("connection", (socket: Socket) => {
    if (socket.destroyed) return;
    arrivals.arrive(socket);
    socket.once("close", () => arrivals.leave(socket));
  });
  server.on("request", ({ socket }: IncomingMessage) => {
    // Those halted here aren't read any more in this turn, whatever has come.
    for (const other of arrivals.countRead(socket)) other.pause();
    schedule();
  });
}
