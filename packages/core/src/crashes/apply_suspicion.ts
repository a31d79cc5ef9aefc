import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

const MAX_SUSPECTED_REQUESTS = 256;

/**
 * Stores in the replicated tables the crashes during which a suspected request
 * was in flight, replacing an earlier row of the request. At capacity, the
 * oldest row is evicted.
 */
export function applySuspicion(
  state: ControlState,
  command: CommandOf<"suspect-request">,
): CommandResult {
  const { kind: _kind, ...row } = command;
  const { suspectedRequests } = state;
  suspectedRequests.delete(row.fingerprint);
  suspectedRequests.set(row.fingerprint, row);
  if (suspectedRequests.size > MAX_SUSPECTED_REQUESTS) {
    suspectedRequests.delete(suspectedRequests.keys().next().value!);
  }
  return { accepted: true };
}
