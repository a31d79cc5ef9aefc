import type { CommandOf } from "../state/command_of.ts";
import type { CommandResult } from "../state/command_result.ts";
import type { ControlState } from "../state/control_state.ts";
import { laterDeparture } from "./later_departure.ts";

/** More than a release of half of 6,700 backend servers; about 800 KB. */
const MAX_ROWS = 8_192;
/**
 * Longer than a heartbeat from before the departure can be on its way, by
 * clocks that are seconds apart.
 */
const RETENTION_MILLISECONDS = 300_000;

/**
 * Stores departures, so that they outlive the control host that was told. Load
 * pattern: all backend servers of a service are replaced at once, and each one
 * that is acknowledged may be the last word of its control host.
 *
 * `value` is the log index at which they are stored.
 */
export function applyDepartures(
  { departures }: Pick<ControlState, "departures">,
  command: CommandOf<"record-departures">,
  index: number,
): CommandResult {
  for (const [instance, { at }] of departures) {
    // Oldest first: a release writes hundreds of rows, so not all are looked at.
    if (command.at - at <= RETENTION_MILLISECONDS) break;
    departures.delete(instance);
  }
  for (const reported of command.departures) {
    const departure = { ...reported, at: command.at };
    const known = departures.get(departure.instance);
    if (known !== undefined && laterDeparture(known, departure) === known) {
      continue;
    }
    departures.delete(departure.instance);
    departures.set(departure.instance, departure);
  }
  while (departures.size > MAX_ROWS) {
    departures.delete(departures.keys().next().value!);
  }
  return { accepted: true, value: index };
}
