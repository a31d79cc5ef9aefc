import type { IncomingMessage } from "node:http";
import type { CallerIntake } from "./caller_intake.ts";

/** Beyond what a proper client has on its way when it is refused. */
const MAX_BYTES = 262_144;
/** As long as a client that goes on sending has to read the refusal. */
const MAX_MILLISECONDS = 1_000;

const drained = new WeakSet<IncomingMessage>();

/**
 * Reads what is left of a request that was refused, or needs no body, so that
 * its connection can be used again. A long rest isn't read: its client has a
 * moment for the refusal, then the connection is closed.
 */
export function drainRefused(
  request: IncomingMessage,
  { turns }: Pick<CallerIntake, "turns">,
): void {
  if (request.complete || drained.has(request)) return;
  drained.add(request);
  const { socket } = request;
  const readBefore = socket.bytesRead;
  const timer = setTimeout(() => socket.destroy(), MAX_MILLISECONDS);
  turns.begin(socket);
  request.on("data", () => {
    turns.countPart(socket);
    if (socket.bytesRead - readBefore > MAX_BYTES) turns.stop(socket);
  });
  const end = () => {
    clearTimeout(timer);
    turns.end(socket);
  };
  request.once("end", end);
  request.once("close", end);
  request.resume();
}
