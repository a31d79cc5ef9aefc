import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { claimId } from "./claim_id.ts";

/**
 * Deletes a claim after its agent confirmed that the call never ran and never
 * will. A claim that was settled in the meantime is kept unchanged.
 */
export function applyClaimCancellation(
  state: ControlState,
  command: CommandOf<"cancel-claim">,
): CommandResult {
  const id = claimId(command);
  const existing = state.claims.get(id);
  if (existing === undefined || existing.claimIndex !== command.claimIndex) {
    return { accepted: false, reason: "no-such-claim", value: existing };
  }
  if (existing.state !== "claimed") {
    return { accepted: false, reason: "settled-before", value: existing };
  }
  state.claims.delete(id);
  return { accepted: true };
}
