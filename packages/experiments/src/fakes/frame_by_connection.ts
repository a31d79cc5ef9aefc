import type { ServerResponse } from "node:http";

/** Makes an answer end with its connection: it gets neither length nor chunks. */
export function frameByConnection(response: ServerResponse): void {
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
}
