import type { Problem } from "../../http/problem.ts";

/** Problems that calls which may not be repeated are answered with. */
export const callProblems = {
  notRun(reason: string, retryAfterMilliseconds: number): Problem {
    return {
      status: 503,
      type: reason,
      detail: `the call was not run: ${reason}`,
      outcome: "not-run",
      retryAfterMilliseconds,
    };
  },

  unknown(reason: string): Problem {
    return {
      status: 504,
      type: reason,
      detail:
        "whether the call ran is not known; ask again with the same Idempotency-Key",
      outcome: "unknown",
      retryAfterMilliseconds: 1_000,
    };
  },

  keyReused(): Problem {
    return {
      status: 422,
      type: "idempotency-key-reused",
      field: "Idempotency-Key",
      detail: "this key was used for another call",
      outcome: "not-run",
      isOutcomeFromLog: true,
    };
  },
};
