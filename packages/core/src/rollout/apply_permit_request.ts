import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { findPermitRefusal } from "./find_permit_refusal.ts";
import type { PermitRow } from "./permit_row.ts";

/**
 * Permits a backend server to stop serving and load the current version, in
 * place of an earlier permit of the same one.
 */
export function applyPermitRequest(
  state: ControlState,
  command: CommandOf<"request-permit">,
  index: number,
): CommandResult {
  const reason = findPermitRefusal(state, command, command.at);
  if (reason !== undefined) return { accepted: false, reason };
  const permit: PermitRow = {
    backendServer: command.backendServer,
    service: command.service,
    incarnation: command.incarnation,
    version: command.version,
    wasServing: command.wasServing,
    fencingToken: index,
    at: command.at,
  };
  state.permits.set(permit.backendServer, permit);
  return { accepted: true, value: permit };
}
