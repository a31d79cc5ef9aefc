import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";

/**
 * Records the version that an operator named for a model. Versions only
 * increase: a repeated or older one is accepted without effect.
 */
export function applyNamedWeights(
  state: ControlState,
  command: CommandOf<"name-weights">,
  index: number,
): CommandResult {
  const { model, version, at } = command;
  const current = state.namedWeights.get(model);
  if (current === undefined || version > current.version) {
    state.namedWeights.set(model, { model, version, index, at });
  }
  return {
    accepted: true,
    value: { version: state.namedWeights.get(model)!.version },
  };
}
