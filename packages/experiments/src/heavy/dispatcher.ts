import type { DispatchDecision } from "./dispatch_decision.ts";
import type { ModelledCall } from "./modelled_call.ts";

/**
 * Decides for one host where each call goes. The callbacks report what becomes
 * of the calls that it sent.
 */
export interface Dispatcher {
  decide(call: ModelledCall, now: number): DispatchDecision;
  /** Called for each event of an answer, before `recordFirstEvent`. */
  recordEvent(engine: number, now: number): void;
  recordFirstEvent(call: ModelledCall, engine: number, now: number): void;
  /**
   * Called when a sent call has ended, also if its caller gave up.
   *
   * @param slotHoldMilliseconds time from the first event to the end; undefined
   * if there was no event.
   */
  recordEnd(
    call: ModelledCall,
    engine: number,
    slotHoldMilliseconds: number | undefined,
  ): void;
  /** Called instead of `recordEnd` if the engine did not accept the call. */
  recordRejection(call: ModelledCall, engine: number, now: number): void;
  /** Called with the load that an engine had `age` milliseconds ago. */
  recordLoadReport(
    engine: number,
    load: { running: number; waiting: number; slowdown?: number },
    report: { now: number; age: number },
  ): void;
}
