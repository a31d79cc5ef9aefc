import { create } from "@bufbuild/protobuf";
import type { Departure as KnownDeparture } from "@teaselrouter/core/departures/departure.ts";
import {
  BackendState,
  type Departure,
  DepartureSchema,
} from "@teaselrouter/messages/follow.ts";

/**
 * Encodes a departure for another process.
 *
 * @param ageMilliseconds since a control host was told
 */
export function encodeDeparture(
  { instance, bornAt, sequence, state, at }: KnownDeparture,
  ageMilliseconds: number,
): Departure {
  return create(DepartureSchema, {
    instance,
    ...(bornAt !== undefined && { bornAt }),
    sequence,
    state: state === "gone" ? BackendState.GONE : BackendState.LEAVING,
    at,
    ageMilliseconds,
  });
}
