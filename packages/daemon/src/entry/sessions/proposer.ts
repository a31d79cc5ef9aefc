import type { Command } from "@teaselrouter/core/state/command.ts";
import type { ControlState } from "@teaselrouter/core/state/control_state.ts";
import type { ProposalReply } from "./proposal_reply.ts";

/** What follows the replicated tables and can propose changes to them. */
export interface Proposer {
  readonly state: ControlState;
  /** Proposes for up to `milliseconds`; the reply says what became of it. */
  propose(command: Command, milliseconds?: number): Promise<ProposalReply>;
}
