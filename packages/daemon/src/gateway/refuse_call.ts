import type { ServerResponse } from "node:http";
import type { CallRefusal } from "./call_refusal.ts";

/**
 * The connection is closed after this status: a client that sends headers this
 * large would go on sending them.
 */
const CLOSING_STATUS = 431;

type Options = {
  isStopping: boolean;
  /** Whether no other answer is due on the connection after this one. */
  isLatest: boolean;
};

/** Sends a refusal of the gateway's own, as plain text. */
export function refuseCall(
  response: ServerResponse,
  refusal: CallRefusal,
  options: Options,
): void {
  const { status, reason, retryAfterMilliseconds } = refusal;
  const body = `${reason}\n`;
  const headers: Record<string, string | number> = {
    "Content-Type": "text/plain; charset=utf-8",
    "Content-Length": new TextEncoder().encode(body).length,
  };
  if (retryAfterMilliseconds !== undefined) {
    headers["Retry-After"] = (retryAfterMilliseconds / 1_000).toFixed(2);
  }
  const closes = options.isStopping || status === CLOSING_STATUS;
  if (closes && options.isLatest) response.shouldKeepAlive = false;
  response.writeHead(status, headers);
  response.end(body);
}
