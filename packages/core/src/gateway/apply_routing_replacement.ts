import type { ChangeAnswer } from "../state/change_answer.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

/**
 * The highest version takes effect. One that is not higher is an old change
 * that arrived again or lost a race: it is accepted and changes nothing, also
 * when its content is another than what stands under the same version.
 */
export function applyRoutingReplacement(
  state: ControlState,
  command: CommandOf<"replace-routing">,
  index: number,
): ChangeAnswer {
  const { version, document } = command;
  const standing = state.routing?.version ?? -1;
  if (version > standing) state.routing = { version, document, index };
  return { accepted: true, value: { version: state.routing!.version } };
}
