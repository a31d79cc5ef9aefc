import type { CommandResult } from "@teaselrouter/core/state/command_result.ts";

/** The outcome of a command that an entry host proposed, as far as known. */
export type ProposalReply =
  | {
    kind: "committed";
    index: number;
    result: CommandResult;
    inForce: boolean;
    hostsWithoutLease: string[];
  }
  /**
   * The command was not accepted into the log and will not be; without a
   * command, the leader did not confirm that it still leads.
   */
  | { kind: "not-proposed" }
  /** The command may have been accepted into the log. */
  | { kind: "unknown" };
