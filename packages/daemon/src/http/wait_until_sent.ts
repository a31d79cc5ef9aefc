import type { ServerResponse } from "node:http";

/**
 * Waits until all of a response has been handed to the operating system, or its
 * connection has closed; no longer than a client that reads nothing may take.
 */
export function waitUntilSent(
  response: ServerResponse,
  maxMilliseconds: number,
): Promise<void> {
  const { writableFinished, closed, destroyed } = response;
  if (writableFinished || closed || destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    const finish = () => {
      clearTimeout(timer);
      response.off("finish", finish);
      response.off("close", finish);
      resolve();
    };
    const timer = setTimeout(finish, maxMilliseconds);
    response.once("finish", finish);
    response.once("close", finish);
  });
}
