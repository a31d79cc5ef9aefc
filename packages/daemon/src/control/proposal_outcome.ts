import type { CommandResult } from "@teaselrouter/core/state/command_result.ts";

/** The outcome of a proposed command. */
export type ProposalOutcome =
  | {
    kind: "committed";
    index: number;
    result: CommandResult;
    /** Whether every entry host with a lease has applied it. */
    inForce: boolean;
    hostsWithoutLease: string[];
  }
  /**
   * The command is not in the log and never will be, or a read was not
   * confirmed within 5 s or before this host ceased to lead.
   */
  | { kind: "not-proposed" }
  /** The command was not committed within 5 s; it may still be. */
  | { kind: "unknown" };
