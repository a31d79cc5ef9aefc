import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { decideNumberedChange } from "../state/decide_numbered_change.ts";
import type { WeightsRow } from "./weights_row.ts";

/** Sets the version that a service's backend servers are to serve. */
export function applyPublication(
  state: ControlState,
  command: CommandOf<"publish-weights">,
  index: number,
): CommandResult {
  const current = state.weights.get(command.service);
  const decision = decideNumberedChange(
    current,
    command.expected,
    command.digest,
  );
  if (decision.kind === "superseded") {
    return { accepted: false, reason: "number-replaced", value: current };
  }
  if (decision.kind === "repeated") return { accepted: true, value: current };
  const row: WeightsRow = {
    service: command.service,
    number: decision.number,
    history: decision.history,
    manifest: command.manifest,
    store: command.store,
    servingShare: command.servingShare,
    index,
  };
  state.weights.set(row.service, row);
  return { accepted: true, value: row };
}
