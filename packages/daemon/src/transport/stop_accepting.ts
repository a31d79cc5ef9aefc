import { Server } from "node:net";

/** A client that goes on opening connections does not delay the stop longer. */
const MAX_ACCEPT_MILLISECONDS = 1_000;

/**
 * Accepts the connections that wait at the port, then stops listening. Closing
 * the port resets the connections that are established but not yet accepted.
 *
 * An HTTP server's own `close` would also close idle connections on which a
 * request is just arriving. Its client would see a broken connection and not
 * know whether the request had run.
 */
export async function stopAccepting(server: Server): Promise<void> {
  let accepted = 0;
  const countConnection = () => void (accepted += 1);
  server.on("connection", countConnection);
  const until = Date.now() + MAX_ACCEPT_MILLISECONDS;
  let before: number;
  do {
    before = accepted;
    // Each turn accepts one connection, but the first of the two may already be
    // past that.
    await nextTurn();
    await nextTurn();
  } while (accepted > before && Date.now() < until);
  server.off("connection", countConnection);
  Server.prototype.close.call(server);
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
