import type { Decision } from "./decision.ts";
import type { ModelledCall } from "./modelled_call.ts";

/** One host's way of deciding; it is told what becomes of what it sent. */
export interface Decider {
  decide(call: ModelledCall, now: number): Decision;
  noteFirstEvent(call: ModelledCall, engine: number, now: number): void;
  /** `hold` from the first event on; undefined where none came. */
  noteEnd(
    call: ModelledCall,
    engine: number,
    hold: number | undefined,
  ): void;
  /** The engine did not take it. */
  noteRejected(call: ModelledCall, engine: number, now: number): void;
  /** An engine's load of some time ago. */
  hearLoad(
    engine: number,
    load: { running: number; waiting: number },
    told: { now: number; age: number },
  ): void;
}
