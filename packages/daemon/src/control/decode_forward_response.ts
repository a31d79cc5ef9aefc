import type { CommandResult } from "@teaselrouter/core/state/command_result.ts";
import type { ForwardResponse } from "@teaselrouter/messages/follow.ts";
import type { ExecutionResult } from "./execution_result.ts";

/** Decodes what `encodeForwardResponse` wrote, also in an earlier version. */
export function decodeForwardResponse(
  { routing, answer }: ForwardResponse,
): ExecutionResult {
  const decoder = new TextDecoder();
  return {
    answer: answer.length === 0
      ? undefined
      : JSON.parse(decoder.decode(answer)) as CommandResult,
    routing: routing && {
      version: routing.version,
      document: decoder.decode(routing.document),
    },
  };
}
