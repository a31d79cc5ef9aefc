import type { ServerResponse } from "node:http";
import type { Problem } from "./problem.ts";

/**
 * Responds with a problem. If the response has already started, closes the
 * connection instead.
 */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent) {
    // A normal end would make the partial response look complete.
    response.destroy();
    return;
  }
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
