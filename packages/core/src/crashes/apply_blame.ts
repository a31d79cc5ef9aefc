import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

const MAX_BLAMED_REQUESTS = 256;

/**
 * Stores a blame in the replicated tables, so that it survives a power loss on
 * all hosts. Ignores a blame with no more crashes than the stored one. At
 * capacity, the oldest blame is evicted.
 */
export function applyBlame(
  state: ControlState,
  command: CommandOf<"blame-request">,
): CommandResult {
  const { kind: _kind, ...row } = command;
  const existing = state.blamedRequests.get(row.fingerprint);
  if (existing !== undefined && existing.crashes >= row.crashes) {
    return { accepted: true };
  }
  state.blamedRequests.delete(row.fingerprint);
  state.blamedRequests.set(row.fingerprint, row);
  if (state.blamedRequests.size > MAX_BLAMED_REQUESTS) {
    state.blamedRequests.delete(state.blamedRequests.keys().next().value!);
  }
  return { accepted: true };
}
