import type { ControlState } from "../state/control_state.ts";
import type { EvacuationRow } from "./evacuation_row.ts";

/** Evacuations in force, by name of the data centre. */
export function listEvacuations(
  { evacuations }: Pick<ControlState, "evacuations">,
): EvacuationRow[] {
  return [...evacuations.values()]
    .filter(({ isEvacuated }) => isEvacuated)
    .sort((left, right) => left.dataCentre < right.dataCentre ? -1 : 1);
}
