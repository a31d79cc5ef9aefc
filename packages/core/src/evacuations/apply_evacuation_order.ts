import type { CommandResult } from "../state/command_result.ts";
import type { CommandOf } from "../state/command_of.ts";
import type { ControlState } from "../state/control_state.ts";
import type { EvacuationRow } from "./evacuation_row.ts";

/** Orders can name any data centre; the rows must fit into each snapshot. */
const MAX_ROWS = 256;

/**
 * Evacuates a data centre or ends its evacuation. An order has no content that
 * tells a late repetition from a new order, so a command states the number of
 * the row that its sender knew while the caller was waiting. A command that was
 * delayed until another order had been applied is superseded and has no effect.
 * A repeated order takes a number too: it invalidates everything still on its
 * way.
 *
 * `value` is the number of the row that is in effect.
 */
export function applyEvacuationOrder(
  state: ControlState,
  command: CommandOf<"order-evacuation">,
  index: number,
): CommandResult {
  const { dataCentre, isEvacuated, expected, at } = command;
  const current = state.evacuations.get(dataCentre);
  const number = current?.number ?? 0;
  if (expected !== number) {
    return {
      accepted: current?.isEvacuated === isEvacuated,
      reason: "superseded",
      value: number,
    };
  }
  if (current === undefined && state.evacuations.size >= MAX_ROWS) {
    return { accepted: false, reason: "too-many-data-centres", value: number };
  }
  const changed: Pick<EvacuationRow, "index" | "at"> =
    current?.isEvacuated === isEvacuated ? current : { index, at };
  state.evacuations.set(dataCentre, {
    dataCentre,
    isEvacuated,
    number: number + 1,
    index: changed.index,
    at: changed.at,
  });
  return { accepted: true, value: number + 1 };
}
