import type { ServerResponse } from "node:http";

/** Ends an answer so that its client can't take it for complete. */
export function cutOff(response: ServerResponse): void {
  // Such an answer may have no other end than that of its connection.
  const { req, socket } = response;
  if (req.httpVersion === "1.0" && socket !== null) socket.resetAndDestroy();
  else response.destroy();
}
