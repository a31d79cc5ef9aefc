import type { CallFailure } from "../client/call_failure.ts";
import { exitCode } from "../exit_code.ts";
import type { CommandResult } from "./command_result.ts";

/** A command that an entry host did not carry out. */
export function failCommand(failure: CallFailure): CommandResult {
  const stands = failure.stands === undefined
    ? ""
    : `\nstands now: ${JSON.stringify(failure.stands)}`;
  return {
    exit: exitCode[failure.kind],
    text: `${failure.message}${stands}`,
    json: {
      error: failure.message,
      outcome: failure.kind,
      stands: failure.stands,
    },
  };
}
