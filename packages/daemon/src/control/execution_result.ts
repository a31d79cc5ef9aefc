import type { CommandResult } from "@teaselrouter/core/state/command_result.ts";

/** What stands on the leader after a command, or for a read. */
export type ExecutionResult = {
  /** Undefined before the first configuration. */
  routing: { version: number; document: string } | undefined;
  /** Undefined for reads, and from leaders of a version that omits it. */
  answer: CommandResult | undefined;
};
