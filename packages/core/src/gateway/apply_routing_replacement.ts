import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

/**
 * Replaces the routing configuration if the command's version is higher than
 * the current one. A command with an equal or lower version is a repeated old
 * change or one that lost a race: it is accepted without effect, even if its
 * content differs from the current content of the same version.
 */
export function applyRoutingReplacement(
  state: ControlState,
  command: CommandOf<"replace-routing">,
  index: number,
): CommandResult {
  const { version, document } = command;
  const currentVersion = state.routing?.version ?? -1;
  if (version > currentVersion) state.routing = { version, document, index };
  return { accepted: true, value: { version: state.routing!.version } };
}
