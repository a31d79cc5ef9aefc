import { deriveLimits } from "../limits/derive_limits.ts";
import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import { decideNumberedChange } from "../state/decide_numbered_change.ts";
import type { ContractRow } from "./contract_row.ts";

/** Creates, changes or retires a workspace's contract. */
export function applyContractChange(
  state: ControlState,
  command: CommandOf<"change-contract">,
  index: number,
): CommandResult {
  const current = state.contracts.get(command.workspace);
  const decision = decideNumberedChange(
    current,
    command.expected,
    command.digest,
  );
  if (decision.kind === "superseded") {
    return { accepted: false, reason: "number-replaced", value: current };
  }
  if (decision.kind === "repeated") return { accepted: true, value: current };
  const row: ContractRow = {
    workspace: command.workspace,
    number: decision.number,
    content: command.content,
    retired: command.retired,
    highestFloor: 0,
    history: decision.history,
  };
  const { floorRate } = deriveLimits(row, state.entryHosts.size);
  row.highestFloor = Math.max(current?.highestFloor ?? 0, floorRate);
  state.contracts.set(row.workspace, row);
  state.limitsChangedAt = index;
  return { accepted: true, value: row };
}
