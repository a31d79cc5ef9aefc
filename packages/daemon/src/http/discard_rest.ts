import type { IncomingMessage } from "node:http";

const MAX_BYTES = 65_536;
const MAX_MILLISECONDS = 500;

/**
 * Reads the rest of an answer that nobody takes, so that its connection can be
 * used again. Closes the connection of one that is long, or slow to end.
 */
export function discardRest(message: IncomingMessage): void {
  let bytes = 0;
  const timer = setTimeout(() => message.destroy(), MAX_MILLISECONDS);
  message.on("data", (part: { length: number }) => {
    bytes += part.length;
    if (bytes > MAX_BYTES) message.destroy();
  });
  message.once("close", () => clearTimeout(timer));
  message.resume();
}
