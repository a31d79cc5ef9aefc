import type { Problem } from "../../http/problem.ts";

/** An operator's request that names a field that can't be so. */
export function invalidRequest(field: string, detail: string): Problem {
  return {
    status: 400,
    type: "bad-request",
    field,
    detail,
    outcome: "not-run",
  };
}
