import type { ServerResponse } from "node:http";

/**
 * Closes the answers of a closed connection whose turn had not come: Node.js
 * tells only the answer whose turn it is that its connection closed.
 */
export function closeWaiting(answers: Iterable<ServerResponse>): void {
  for (const answer of [...answers]) {
    if (answer.socket !== null) continue;
    answer.destroy();
    answer.emit("close");
  }
}
