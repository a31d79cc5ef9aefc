import type { ServerResponse } from "node:http";
import type { Problem } from "./problem.ts";

/** Answers with a problem; after a begun answer, breaks the connection. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.headersSent) {
    // A clean end would let the caller take a part for the whole.
    response.destroy();
    return;
  }
  // A failed attempt may have set it; a problem comes from no weights.
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
