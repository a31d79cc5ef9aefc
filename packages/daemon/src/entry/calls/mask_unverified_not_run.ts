import type { IncomingMessage } from "node:http";
import type { Problem } from "../../http/problem.ts";

/**
 * Changes the outcome "not-run" to "unknown" in a refusal that was made without
 * consulting the log, for a call that carries an idempotency key. Such a
 * "not-run" is a guess: the same key may have been claimed, and the call run,
 * through another entry host before. A caller that gets "not-run" would
 * order again under a new key and pay twice.
 */
export function maskUnverifiedNotRun(
  request: IncomingMessage,
  problem: Problem,
): Problem {
  const keyed = request.headers["idempotency-key"] !== undefined;
  const guessed = problem.outcome === "not-run" && !problem.isOutcomeFromLog;
  return keyed && guessed ? { ...problem, outcome: "unknown" } : problem;
}
