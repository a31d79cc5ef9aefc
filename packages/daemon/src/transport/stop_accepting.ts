import { Server } from "node:net";
import { monotonicMilliseconds } from "./monotonic_milliseconds.ts";
import { nextTurn } from "./next_turn.ts";

/** Many times what a turn of the event loop takes that has nothing to do. */
const MAX_LAST_TURN_MILLISECONDS = 1;

type Options = {
  /** A client that goes on opening connections does not delay the stop longer. */
  maxMilliseconds: number;
};

/**
 * Accepts the connections that wait at the port, then stops listening. Closing
 * the port resets the connections that are established but not yet accepted.
 *
 * Each turn of the event loop accepts one connection. The port counts as empty
 * after a turn that brought none and was short: more may have been opened during
 * a turn that did other work, or in which the process stood still.
 *
 * An HTTP server's own `close` would also close idle connections on which a
 * request is just arriving. Its client would see a broken connection and not
 * know whether the request had run.
 *
 * @returns how many were accepted, in how many milliseconds, and whether the port
 * was empty; if not, connections may have been reset.
 */
export async function stopAccepting(
  server: Server,
  { maxMilliseconds }: Options,
) {
  const startedAt = monotonicMilliseconds();
  let accepted = 0;
  const countConnection = () => void (accepted += 1);
  server.on("connection", countConnection);
  // This turn may already be past accepting.
  await nextTurn();
  let isEmpty = false;
  while (!isEmpty && monotonicMilliseconds() - startedAt < maxMilliseconds) {
    const before = accepted;
    const turnAt = monotonicMilliseconds();
    await nextTurn();
    const turnMilliseconds = monotonicMilliseconds() - turnAt;
    isEmpty = accepted === before &&
      turnMilliseconds <= MAX_LAST_TURN_MILLISECONDS;
  }
  Server.prototype.close.call(server);
  server.off("connection", countConnection);
  const milliseconds = Math.round(monotonicMilliseconds() - startedAt);
  return { accepted, milliseconds, empty: isEmpty };
}
