import type { ModelledCall } from "./modelled_call.ts";

/** A call as an engine has it. */
export type EngineWork = {
  call: ModelledCall;
  /** Smaller goes first. */
  rank: number;
  unread: number;
  unwritten: number;
  onEvent: () => void;
  /** `isWhole` unless the engine went away. */
  onEnd: (isWhole: boolean) => void;
};
