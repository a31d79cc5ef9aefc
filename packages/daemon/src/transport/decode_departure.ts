import type { Departure } from "@teaselrouter/core/departures/departure.ts";
import {
  BackendState,
  type Departure as DepartureMessage,
} from "@teaselrouter/messages/follow.ts";

/**
 * Decodes a departure that another process passed on.
 *
 * @param now monotonic milliseconds
 */
export function decodeDeparture(
  { instance, bornAt, sequence, state, at, ageMilliseconds }: DepartureMessage,
  now: number,
): { departure: Departure; toldAt: number } {
  return {
    departure: {
      instance,
      bornAt,
      sequence,
      state: state === BackendState.LEAVING ? "leaving" : "gone",
      at,
    },
    toldAt: now - ageMilliseconds,
  };
}
