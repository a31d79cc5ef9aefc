import type { ChangeAnswer } from "../state/change_answer.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { claimId } from "./claim_id.ts";

/** Records what became of a claimed call; the first record stands. */
export function applyClaimSettlement(
  state: ControlState,
  command: CommandOf<"settle-claim">,
): ChangeAnswer {
  const id = claimId(command);
  const standing = state.claims.get(id);
  if (standing === undefined || standing.claimIndex !== command.claimIndex) {
    return { accepted: false, reason: "no-such-claim", value: standing };
  }
  if (standing.state !== "claimed") {
    return { accepted: true, value: standing };
  }
  const settled = {
    ...standing,
    state: command.outcome,
    status: command.status,
    contentType: command.contentType,
    answer: command.answer,
  };
  state.claims.set(id, settled);
  return { accepted: true, value: settled };
}
