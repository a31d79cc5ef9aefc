import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { claimId } from "./claim_id.ts";

/** Records the outcome of a claimed call; the first recorded one is kept. */
export function applyClaimSettlement(
  state: ControlState,
  command: CommandOf<"settle-claim">,
): CommandResult {
  const id = claimId(command);
  const existing = state.claims.get(id);
  if (existing === undefined || existing.claimIndex !== command.claimIndex) {
    return { accepted: false, reason: "no-such-claim", value: existing };
  }
  if (existing.state !== "claimed") {
    return { accepted: true, value: existing };
  }
  const settled = {
    ...existing,
    state: command.outcome,
    status: command.status,
    contentType: command.contentType,
    answer: command.answer,
  };
  state.claims.set(id, settled);
  return { accepted: true, value: settled };
}
