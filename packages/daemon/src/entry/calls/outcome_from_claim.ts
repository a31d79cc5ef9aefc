import type { ClaimRow } from "@teaselrouter/core/claims/claim_row.ts";
import { Buffer } from "node:buffer";
import { callProblems } from "./call_problems.ts";
import type { UnrepeatableOutcome } from "./unrepeatable_outcome.ts";

/** What the log holds of a claim, as the caller hears it. */
export function recordedOutcome(claim: ClaimRow): UnrepeatableOutcome {
  if (claim.state === "unknown") {
    return {
      kind: "failed",
      problem: {
        ...callProblems.unknown("outcome-lost"),
        status: 502,
        detail: "whether the call ran can't be learned any more",
        retryAfterMilliseconds: undefined,
      },
    };
  }
  if (claim.contentType === "" && claim.answer === "" && claim.status === 200) {
    return {
      kind: "failed",
      problem: {
        status: 409,
        type: "answer-not-kept",
        detail: "the call ran; its answer was too large to be kept",
        outcome: "ran",
      },
    };
  }
  return {
    kind: "answered",
    answer: {
      status: claim.status,
      contentType: claim.contentType,
      body: Buffer.from(claim.answer, "base64"),
    },
  };
}
