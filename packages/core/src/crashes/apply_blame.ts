import type { ChangeAnswer } from "../state/change_answer.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

const MOST_KEPT = 256;

/** Keeps a blame over a loss of all power; the oldest makes room. */
export function applyBlame(
  state: ControlState,
  command: CommandOf<"blame-request">,
): ChangeAnswer {
  const { kind: _kind, ...row } = command;
  const standing = state.blamedRequests.get(row.fingerprint);
  if (standing !== undefined && standing.crashes >= row.crashes) {
    return { accepted: true };
  }
  state.blamedRequests.delete(row.fingerprint);
  state.blamedRequests.set(row.fingerprint, row);
  if (state.blamedRequests.size > MOST_KEPT) {
    state.blamedRequests.delete(state.blamedRequests.keys().next().value!);
  }
  return { accepted: true };
}
