import type { ChangeAnswer } from "../state/change_answer.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

const MOST_KEPT = 256;

/** Keeps the ends under a request that is not blamed yet; the oldest goes. */
export function applySuspicion(
  state: ControlState,
  command: CommandOf<"suspect-request">,
): ChangeAnswer {
  const { kind: _kind, ...row } = command;
  const { suspectedRequests } = state;
  suspectedRequests.delete(row.fingerprint);
  suspectedRequests.set(row.fingerprint, row);
  if (suspectedRequests.size > MOST_KEPT) {
    suspectedRequests.delete(suspectedRequests.keys().next().value!);
  }
  return { accepted: true };
}
