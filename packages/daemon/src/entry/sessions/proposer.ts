import type { Command } from "@teaselrouter/core/state/command.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { ProposalReply } from "./proposal_reply.ts";

/** Follows the replicated tables and proposes commands that change them. */
export interface Proposer {
  readonly state: ControlState;
  /** Proposes for up to `milliseconds`; resolves to the command's outcome. */
  propose(command: Command, milliseconds?: number): Promise<ProposalReply>;
}
