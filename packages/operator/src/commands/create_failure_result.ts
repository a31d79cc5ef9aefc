import type { CallFailure } from "../client/call_failure.ts";
import { exitCode } from "../exit_code.ts";
import { describeCurrentState } from "../output/describe_current_state.ts";
import type { CommandResult } from "./command_result.ts";

/** Creates the result of a command whose call to an entry host failed. */
export function createFailureResult(failure: CallFailure): CommandResult {
  return {
    exit: exitCode[failure.kind],
    text: [failure.message, ...describeCurrentState(failure.stands)].join("\n"),
    json: {
      error: failure.message,
      outcome: failure.kind,
      stands: failure.stands,
    },
  };
}
