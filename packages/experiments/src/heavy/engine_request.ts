import type { ModelledCall } from "./modelled_call.ts";

/** A call in the queue or in a slot of an engine. */
export type EngineRequest = {
  call: ModelledCall;
  /** Position in the queue: requests with a lower rank go first. */
  rank: number;
  /** Prompt tokens not prefilled yet. */
  pendingPromptTokens: number;
  /** Answer tokens not decoded yet. */
  pendingAnswerTokens: number;
  onEvent: () => void;
  /** `isComplete` is false if the engine had an outage. */
  onEnd: (isComplete: boolean) => void;
};
