import type { CallOutcome } from "./call_outcome.ts";
import type { FleetSettings } from "./fleet_settings.ts";

/**
 * One call of a modelled caller, over all of its tries. Times are milliseconds
 * of the simulated clock.
 */
export type ModelledCall = {
  kind: FleetSettings["kinds"][number];
  dataCentre: string;
  workspace: string;
  /** Index of the host that got the first try. */
  host: number;
  promptTokens: number;
  answerTokens: number;
  /** The caller's estimate. */
  expectedAnswerTokens: number;
  startedAt: number;
  /** When the caller gives up. */
  abandonedAt: number;
  tries: number;
  firstEventAt: number | undefined;
  /** Between two events of its answer, also across two tries. */
  longestPauseMilliseconds: number;
  /** Undefined until the call has ended. */
  outcome: CallOutcome | undefined;
};
