import type { IncomingMessage } from "node:http";
import type { Problem } from "../../http/problem.ts";

/**
 * A refusal made without asking the log. The same key may have been claimed,
 * and run, through another entry host before: told "not run", a caller would
 * order again under a new key and pay twice. So a call that carries a key
 * hears that its outcome is not known.
 */
export function withoutPromise(
  request: IncomingMessage,
  problem: Problem,
): Problem {
  const keyed = request.headers["idempotency-key"] !== undefined;
  const guessed = problem.outcome === "not-run" && !problem.consultedLog;
  return keyed && guessed ? { ...problem, outcome: "unknown" } : problem;
}
