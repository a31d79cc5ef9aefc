import type { Problem } from "../../http/problem.ts";

/** The problem for an operator's request with an invalid field. */
export function invalidRequest(field: string, detail: string): Problem {
  return {
    status: 400,
    type: "bad-request",
    field,
    detail,
    outcome: "not-run",
  };
}
