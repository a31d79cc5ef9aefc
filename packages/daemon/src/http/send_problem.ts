import type { ServerResponse } from "node:http";
import { cutOff } from "./cut_off.ts";
import type { Problem } from "./problem.ts";

/**
 * Responds with a problem. A response that has already started is cut off
 * instead: a normal end would make it look complete.
 */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent) return cutOff(response);
  // A failed attempt may have set this header, but no weights produced the
  // problem.
  response.removeHeader("Teaselrouter-Weights");
  const { status, type, detail, field, outcome } = problem;
  const headers: Record<string, string> = {
    "Content-Type": "application/problem+json",
    "Teaselrouter-Outcome": outcome,
  };
  if (problem.retryAfterMilliseconds !== undefined) {
    const seconds = Math.ceil(problem.retryAfterMilliseconds / 1_000);
    headers["Retry-After"] = String(Math.max(1, seconds));
  }
  const body = JSON.stringify({ type, title: detail, status, detail, field });
  response.writeHead(status, headers);
  response.end(body);
}
