import type { Departure as KnownDeparture } from "@teaselrouter/core/departures/departure.ts";
import { BackendState, type Departure } from "@teaselrouter/messages/follow.ts";

/**
 * Decodes a departure that another process passed on.
 *
 * @param now monotonic milliseconds
 */
export function decodeDeparture(
  { instance, bornAt, sequence, state, at, ageMilliseconds }: Departure,
  now: number,
): { departure: KnownDeparture; toldAt: number } {
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
