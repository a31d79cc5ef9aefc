import type { ServerResponse } from "node:http";
import type { CallerIntake } from "../http/caller_intake.ts";
import { drainRefused } from "../http/drain_refused.ts";
import type { CallRefusal } from "./call_refusal.ts";

/**
 * The connection is closed after this status: a client that sends headers this
 * large would go on sending them.
 */
const CLOSING_STATUS = 431;

/**
 * How long a refused request's body is read before the connection is closed. A
 * client that is still sending when it closes may lose the refusal.
 */
const MAX_READ_ON_MILLISECONDS = 1_000;

type Options = {
  isStopping: boolean;
  /** Whether no other answer is due on the connection after this one. */
  isLatest: boolean;
  intake: CallerIntake;
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
  const closesHalfRead = !response.shouldKeepAlive && !response.req.complete;
  if (!closesHalfRead) return void response.end(body);
  response.write(body);
  endOnceRead(response, options.intake);
}

/** Ends a response, and with it its connection, once its request was read. */
function endOnceRead(response: ServerResponse, intake: CallerIntake): void {
  const timer = setTimeout(() => response.end(), MAX_READ_ON_MILLISECONDS);
  const end = () => {
    clearTimeout(timer);
    response.end();
  };
  drainRefused(response.req, intake);
  response.req.once("end", end);
  response.once("close", end);
}
