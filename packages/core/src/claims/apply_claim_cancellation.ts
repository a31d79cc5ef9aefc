import type { ChangeAnswer } from "../state/change_answer.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { claimId } from "./claim_id.ts";

/**
 * Takes a claim back after its agent confirmed that it never ran and never
 * will. A claim that was settled meanwhile stays as it is.
 */
export function applyClaimCancellation(
  state: ControlState,
  command: CommandOf<"cancel-claim">,
): ChangeAnswer {
  const id = claimId(command);
  const standing = state.claims.get(id);
  if (standing === undefined || standing.claimIndex !== command.claimIndex) {
    return { accepted: false, reason: "no-such-claim", value: standing };
  }
  if (standing.state !== "claimed") {
    return { accepted: false, reason: "settled-before", value: standing };
  }
  state.claims.delete(id);
  return { accepted: true };
}
