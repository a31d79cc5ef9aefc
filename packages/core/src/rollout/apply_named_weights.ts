import type { ChangeAnswer } from "../state/change_answer.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

/** Versions only rise: one that arrives again is accepted without effect. */
export function applyNamedWeights(
  state: ControlState,
  command: CommandOf<"name-weights">,
  index: number,
): ChangeAnswer {
  const { model, version, at } = command;
  const standing = state.namedWeights.get(model);
  if (standing === undefined || version > standing.version) {
    state.namedWeights.set(model, { model, version, index, at });
  }
  return {
    accepted: true,
    value: { version: state.namedWeights.get(model)!.version },
  };
}
