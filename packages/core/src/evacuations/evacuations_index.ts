import type { ControlState } from "../state/control_state.ts";

/**
 * Index of the log entry that last changed which evacuations are in force; 0
 * before the first. Of two states, the one with the higher index is the later.
 */
export function evacuationsIndex(
  { evacuations }: Pick<ControlState, "evacuations">,
): number {
  return Math.max(0, ...[...evacuations.values()].map(({ index }) => index));
}
