import type { CallFailure } from "../client/call_failure.ts";
import { exitCode } from "../exit_code.ts";
import { describeStanding } from "../output/describe_standing.ts";
import type { CommandResult } from "./command_result.ts";

/** A command that an entry host did not carry out. */
export function failCommand(failure: CallFailure): CommandResult {
  return {
    exit: exitCode[failure.kind],
    text: [failure.message, ...describeStanding(failure.stands)].join("\n"),
    json: {
      error: failure.message,
      outcome: failure.kind,
      stands: failure.stands,
    },
  };
}
