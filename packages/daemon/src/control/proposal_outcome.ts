import type { CommandResult } from "@teaselrouter/core/state/command_result.ts";

/** The outcome of a proposed command. */
export type ProposalOutcome =
  | {
    kind: "committed";
    index: number;
    result: CommandResult;
    /** Whether every entry host with a live lease has applied it. */
    inForce: boolean;
    hostsWithoutLease: string[];
  }
  | { kind: "not-proposed" }
  | { kind: "unknown" };
