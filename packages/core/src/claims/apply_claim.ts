import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { claimId } from "./claim_id.ts";
import type { ClaimRow } from "./claim_row.ts";

const RETENTION_MILLISECONDS = 24 * 3_600_000;
const MAX_EXPIRED_PER_CLAIM = 4;

/** Deletes a few of the expired claims, by the leader's clock in the log. */
function expireClaims(claims: Map<string, ClaimRow>, now: number): void {
  let expired = 0;
  for (const [id, row] of claims) {
    if (expired >= MAX_EXPIRED_PER_CLAIM) return;
    if (now - row.at < RETENTION_MILLISECONDS) return;
    claims.delete(id);
    expired += 1;
  }
}

/**
 * Assigns a call that may not be repeated to one agent process, that of the
 * command's `incarnation`. If the key is claimed already, the command is
 * refused and the `value` of the result is the existing claim, so that no
 * second process may run the call.
 */
export function applyClaim(
  state: ControlState,
  command: CommandOf<"claim">,
  index: number,
): CommandResult {
  expireClaims(state.claims, command.at);
  const id = claimId(command);
  const existing = state.claims.get(id);
  if (existing !== undefined) {
    const isSameCall = existing.bodyDigest === command.bodyDigest &&
      existing.service === command.service;
    return {
      accepted: false,
      reason: isSameCall ? "claimed-before" : "key-used-for-another-call",
      value: existing,
    };
  }
  const { kind: _kind, ...fields } = command;
  const row: ClaimRow = {
    ...fields,
    claimIndex: index,
    state: "claimed",
    status: 0,
    contentType: "",
    answer: "",
  };
  state.claims.set(id, row);
  return { accepted: true, value: row };
}
