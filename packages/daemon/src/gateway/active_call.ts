import type { AdmittedCall } from "./admitted_call.ts";
import type { AnswerProgress } from "./answer_progress.ts";
import type { AnswerForwarder } from "./answer_forwarder.ts";
import type { CallRouting } from "./call_routing.ts";
import type { CallSender } from "./call_sender.ts";
import type { CallTakeover } from "./call_takeover.ts";
import type { RefusalBuilder } from "./refusal_builder.ts";

/** An admitted request and the objects that handle it. */
export type ActiveCall = {
  call: AdmittedCall;
  sender: CallSender;
  forwarder: AnswerForwarder;
  routing: CallRouting;
  refusals: RefusalBuilder;
  takeover: CallTakeover;
  /** Of the current answer, a good stream; undefined without one. */
  progress: AnswerProgress | undefined;
};
