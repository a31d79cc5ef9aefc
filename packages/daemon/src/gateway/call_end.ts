import type { AnswerEnd } from "@teaselrouter/core/answers/answer_end.ts";
import type { AnswerFraming } from "@teaselrouter/core/answers/answer_framing.ts";

/** How a request ended, for its log line. */
export type CallEnd = {
  status: number;
  /**
   * For an answered request, the instance that answered; otherwise what ended
   * the request. Logged as `reason` of `request-ended`.
   */
  reason: string;
  /**
   * Whether a backend server may have run the request. "answered" includes
   * answers with an error status.
   */
  outcome: "answered" | "not-run" | "unknown" | "client-left";
  /** The last answer's framing and end; undefined without one. */
  framing?: AnswerFraming;
  answerEnd?: AnswerEnd;
};
