import type { Blame } from "@teaselrouter/core/crashes/blame.ts";
import type { AnswerProgress } from "./answer_progress.ts";
import type { AdmittedCall } from "./admitted_call.ts";

/** A request that this gateway is handling. */
export type InFlightCall = {
  call: AdmittedCall;
  /** Called once the request is blamed. */
  abort: (blame: Blame) => void;
  /** Of its current answer, a stream; undefined without one. */
  progress: () => AnswerProgress | undefined;
};
